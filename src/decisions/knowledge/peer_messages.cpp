#include "lacewingbeam/peer_messages.hpp"

#include <algorithm>

namespace lacewingbeam {

namespace {

// Ages are at most this, so that sums do not overflow.
constexpr duration max_age = std::chrono::hours(24);

void add(duration& age, duration delay) {
    age = std::min(max_age, std::min(max_age, age) + delay);
}

struct delay_visitor {
    duration delay;

    void operator()(heartbeat& value) const { add(value.table_age, delay); }
    void operator()(table_request&) const {}
    void operator()(table_rows& value) const {
        add(value.age, delay);
        add(value.routes_age, delay);
    }
};

} // namespace

void add_delay(peer_message& message, duration delay) {
    std::visit(delay_visitor{delay}, message);
}

} // namespace lacewingbeam
