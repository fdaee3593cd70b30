#ifndef LACEWINGBEAM_TEST_INTEGRATION_HTTP_CALL_HPP
#define LACEWINGBEAM_TEST_INTEGRATION_HTTP_CALL_HPP

#include <chrono>
#include <future>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

// HTTP requests of a test, each on its own connection and waited for.
namespace testing_support {

using json = nlohmann::json;

struct http_response {
    int status = 0;                             // 0: no whole answer
    std::map<std::string, std::string> headers; // names in lower case
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

// Asks on another thread.
std::future<http_response> send_request_async(const http_request& request);

// Sends raw bytes and returns all that comes back until the other side
// closes or the limit ends.
std::string send_raw(const std::string& address, const std::string& bytes,
                     std::chrono::milliseconds timeout);

} // namespace testing_support

#endif
