#ifndef LACEWINGBEAM_TEST_SOAK_CALLER_HPP
#define LACEWINGBEAM_TEST_SOAK_CALLER_HPP

#include <cstdint>
#include <string>

// A caller's side of the soak: requests over connections that are kept open
// until the other side closes them.
namespace soak {

// Milliseconds of the steady clock, which all processes of a machine share.
std::int64_t now_ms();

enum class call_outcome {
    answered,  // whole, as far as its own marks say
    closed,    // the connection ended before a whole answer
    timed_out, // no whole answer in time
    not_sent   // no connection, or it was closed before the request went out
};

struct call_response {
    call_outcome outcome = call_outcome::not_sent;
    int status = 0;
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

    // Connects to IP:port; false if nobody takes the connection in a second.
    bool open(const std::string& address);
    void close();

    // Sends the bytes and reads one answer, waiting so long at most.
    call_response send_and_receive(const std::string& bytes,
                                   std::int64_t timeout_ms);

private:
    // Reads more bytes; what stopped it otherwise.
    bool read_more(std::int64_t deadline_ms, call_outcome& failure);
    bool read_body(call_response& response, std::int64_t deadline_ms);
    bool read_at_least(std::size_t bytes, std::int64_t deadline_ms,
                       call_outcome& failure);

    int socket_ = -1;
    std::string buffer_;
};

} // namespace soak

#endif
