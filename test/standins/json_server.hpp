#ifndef LACEWINGBEAM_TEST_STANDINS_JSON_SERVER_HPP
#define LACEWINGBEAM_TEST_STANDINS_JSON_SERVER_HPP

#include <chrono>
#include <cstdint>
#include <event2/event.h>
#include <event2/http.h>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

// A small HTTP server for the stand-ins. It shares no code with the product, so
// that a bug in the product cannot be masked by the same bug here.
namespace standin {

using json = nlohmann::json;
using milliseconds = std::chrono::milliseconds;

// The event loop of the process.
event_base* event_loop();

// Runs the function once after the delay.
void run_after(milliseconds delay, std::function<void()> function);

// A request that may be answered at any later time, or never.
class request {
public:
    explicit request(evhttp_request* handle);
    ~request();
    request(const request&) = delete;
    request& operator=(const request&) = delete;

    std::string method() const;
    std::string path() const; // decoded, without the query
    std::string query(const std::string& name) const;
    std::string header(const std::string& name) const;
    std::string body() const;
    json body_json() const; // json::value_t::discarded if malformed

    void add_header(const std::string& name, const std::string& value);
    void reply(int status, const std::string& body);
    void reply_json(int status, const json& body);

    // Replies, then sends unsolicited bytes on the same connection.
    void reply_with_extra_bytes(int status, const std::string& body,
                                const std::string& extra_bytes);

    // Sends bytes that fit into the socket's buffer instead of a response.
    void send_raw_and_close(const std::string& bytes);
    void start_reply(int status);
    void send_chunk(const std::string& chunk);
    void finish_reply();

    // Closes the connection without a response.
    void close_connection();

    bool is_open() const { return handle_ != nullptr; }

    // Called when the client disconnects before the response is sent.
    std::function<void()> on_disconnect;

private:
    static void on_connection_closed(evhttp_connection*, void* argument);
    static void on_peer_closed(evutil_socket_t, short, void* argument);
    void detach_callbacks();

    evhttp_request* handle_;
    event* close_event_ = nullptr;
};

using request_ptr = std::shared_ptr<request>;

// Starts a server on 127.0.0.1 that passes every request to the handler.
// Port 0 picks a free one. Returns the bound port.
std::uint16_t serve(std::uint16_t port,
                    std::function<void(request_ptr)> handler);

// Prints "listening 127.0.0.1:PORT" and runs the event loop until SIGTERM or
// SIGINT.
void run(std::uint16_t port);

} // namespace standin

#endif
