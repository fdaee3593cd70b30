#ifndef LACEWINGBEAM_TEST_INTEGRATION_HTTP_CALL_HPP
#define LACEWINGBEAM_TEST_INTEGRATION_HTTP_CALL_HPP

#include <chrono>
#include <future>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

// Blocking HTTP requests of a test, each on a connection of its own.
namespace testing_support {

using json = nlohmann::json;

struct http_response {
    int status = 0;                             // 0: no complete response
    std::map<std::string, std::string> headers; // lower-case names
    std::string body;
    std::chrono::milliseconds time{};

    std::string header(const std::string& name) const;
    std::string verdict() const { return header("lacewingbeam-verdict"); }
    json body_json() const { return json::parse(body, nullptr, false); }
};

struct http_request {
    std::string address; // IP:port
    std::string method = "GET";
    std::string target = "/";
    std::map<std::string, std::string> headers{};
    std::string body{};
    std::chrono::milliseconds timeout{20000};
};

http_response send_request(const http_request& request);

// Sends the request on another thread.
std::future<http_response> send_request_async(const http_request& request);

// Sends raw bytes and returns everything received until the peer closes the
// connection or sends nothing for the timeout.
std::string send_raw(const std::string& address, const std::string& bytes,
                     std::chrono::milliseconds timeout);

} // namespace testing_support

#endif
