#ifndef LACEWINGBEAM_TEST_SOAK_CALLER_HPP
#define LACEWINGBEAM_TEST_SOAK_CALLER_HPP

#include <cstdint>
#include <string>

// The client side of the soak test: HTTP/1.1 requests over keep-alive
// connections.
namespace soak {

// Milliseconds of the steady clock, which is the same in all processes of a
// machine.
std::int64_t now_ms();

enum class call_outcome {
    answered,  // complete according to its Content-Length or chunks
    closed,    // the connection closed before a complete response
    timed_out, // no complete response in time
    not_sent   // the request could not be sent
};

struct call_response {
    call_outcome outcome = call_outcome::not_sent;
    int status = 0;
    bool has_valid_status_line = false;
    std::string request_id;
    std::string stamp;
    std::string body;
    bool connection_close = false;
};

class caller_connection {
public:
    caller_connection() = default;
    ~caller_connection();
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;

    bool is_open() const { return socket_ >= 0; }

    // Connects to IP:port. Returns false if that fails or takes over a second.
    bool open(const std::string& address);
    void close();

    // Sends the bytes and reads one response, within the timeout.
    call_response send_and_receive(const std::string& bytes,
                                   std::int64_t timeout_ms);

private:
    // Reads more bytes into the buffer. On failure returns false and sets
    // `failure`.
    bool read_more(std::int64_t deadline_ms, call_outcome& failure);
    bool read_response(call_response& response, std::int64_t deadline_ms);
    bool read_at_least(std::size_t bytes, std::int64_t deadline_ms,
                       call_outcome& failure);

    int socket_ = -1;
    std::string buffer_;
};

} // namespace soak

#endif
