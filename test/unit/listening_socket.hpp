#ifndef LACEWINGBEAM_TEST_UNIT_LISTENING_SOCKET_HPP
#define LACEWINGBEAM_TEST_UNIT_LISTENING_SOCKET_HPP

#include <criterion/criterion.h>

#include <arpa/inet.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace testing_support {

// Listens on a free port of the loopback interface.
class listening_socket {
public:
    listening_socket() : handle_(socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        auto* generic = reinterpret_cast<sockaddr*>(&address);
        cr_assert_eq(bind(handle_, generic, size), 0);
        cr_assert_eq(listen(handle_, 1), 0);
        getsockname(handle_, generic, &size);
        port_ = ntohs(address.sin_port);
    }
    ~listening_socket() { close(handle_); }
    listening_socket(const listening_socket&) = delete;
    listening_socket& operator=(const listening_socket&) = delete;

    int accept_connection() const { return accept(handle_, nullptr, nullptr); }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
    int handle_;
    unsigned port_ = 0;
};

} // namespace testing_support

#endif
