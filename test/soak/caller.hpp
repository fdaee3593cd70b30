#ifndef LACEWINGBEAM_TEST_SOAK_CALLER_HPP
#define LACEWINGBEAM_TEST_SOAK_CALLER_HPP

#include <cstdint>
#include <string>

// A caller's side of the soak: requests over connections that are kept open
// until the other side closes them.
namespace soak {

// Milliseconds of the steady clock, which all processes of a machine share.
std::int64_t now_ms();

enum class call_end {
    answered,  // whole, as far as its own marks say
    closed,    // the connection ended before a whole answer
    silent,    // no whole answer in time
    no_sending // no connection, or it was closed before the request went out
};

struct call_answer {
    call_end end = call_end::no_sending;
    int status = 0;
    std::string request_id;
    std::string stamp;
    std::string body;
    bool closes = false;
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
    call_answer ask(const std::string& bytes, std::int64_t patience_ms);

private:
    // Reads more bytes; what stopped it otherwise.
    bool read_more(std::int64_t until_ms, call_end& why);
    bool read_body(call_answer& answer, std::int64_t until_ms);
    bool need(std::size_t bytes, std::int64_t until_ms, call_end& why);

    int socket_ = -1;
    std::string buffer_;
};

} // namespace soak

#endif
