#include "closing_server.hpp"

// connection_pool with servers that close in the middle of a response's head.
using namespace lacewingbeam;
using namespace lacewingbeam::test;

// Operators of similar systems: callers got an empty 200 response, framed as
// complete, when a server closed within the head.
Test(connection_pool, response_cut_within_its_head_is_a_failure) {
    for (const std::string framing :
         {"Content-Length: 10\r\n", "Transfer-Encoding: chunked\r\n", ""}) {
        const std::string head = "HTTP/1.1 200 OK\r\nX-First: a\r\n"
                                 "X-Second: b\r\n" +
                                 framing + "\r\n";
        for (std::size_t size = 0; size < head.size(); ++size) {
            const auto result = exchange_with(head.substr(0, size));
            cr_expect_not(result.ended, "cut after %zu bytes: %s", size,
                          framing.c_str());
            cr_expect(result.failure.has_value());
        }
        cr_expect_eq(exchange_with(head).ended, framing.empty());
    }
}
