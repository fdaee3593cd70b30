#include "adapters/connection_pool.hpp"

#include <criterion/criterion.h>
#include <optional>

// Tests of the order in which a connection_pool reports what happens.
using namespace lacewingbeam;

// Regression test: a connection that the system refuses at once was reported
// before start() had returned, to a caller that did not know the exchange yet.
Test(connection_pool, connection_refused_at_once_is_reported_after_start) {
    // No connection to a broadcast address is ever attempted.
    for (const auto* address : {"255.255.255.255:9", "224.0.0.1:9"}) {
        event_loop loop;
        connection_pool pool(loop, {});
        std::optional<exchange_failure> failure;
        exchange_events events;
        events.failed = [&](const exchange_failure& reported) {
            failure = reported;
            loop.stop();
        };
        pool.start(address, {}, {}, std::move(events));
        cr_assert_not(failure.has_value(), "%s", address);
        loop.run();
        cr_assert(failure.has_value());
        cr_assert_eq(failure->problem, exchange_problem::connect_failed);
        cr_assert_not(failure->bytes_sent);
    }
}
