#include "binding.hpp"
#include "lacewingbeam/server_limits.hpp"

#include <algorithm>
#include <criterion/criterion.h>
#include <deque>

// Tests of the limits that backend servers name for all instances together.
using namespace lacewingbeam;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const time_point start{seconds(100)};

// Instances that send to one server whenever they may.
class greedy_instances {
public:
    explicit greedy_instances(std::size_t count) {
        for (std::size_t i = 0; i < count; ++i) {
            instances_.emplace_back(i + 1);
            instances_.back().set_instances(address_of(i), peers_of(i, count));
        }
    }

    void name(double limit) {
        for (auto& instance : instances_) {
            instance.on_named("s", limit, start);
        }
    }

    // Returns the highest number of requests in any window of 4 s.
    std::size_t busiest_window(duration length) {
        std::deque<time_point> window;
        std::size_t most = 0;
        for (auto now = start; now < start + length; now += milliseconds(10)) {
            for (auto& instance : instances_) {
                if (instance.may_send("s", now)) {
                    instance.on_sent("s", now);
                    window.push_back(now);
                    ++sent;
                }
            }
            while (!window.empty() && now - window.front() >= seconds(4)) {
                window.pop_front();
            }
            most = std::max(most, window.size());
        }
        return most;
    }

    std::size_t sent = 0;

private:
    static std::string address_of(std::size_t i) {
        return "10.0.0." + std::to_string(i) + ":1";
    }
    static std::vector<std::string> peers_of(std::size_t i, std::size_t count) {
        std::vector<std::string> peers;
        for (std::size_t j = 0; j < count; ++j) {
            if (j != i) {
                peers.push_back(address_of(j));
            }
        }
        return peers;
    }

    std::deque<server_limits> instances_;
};

} // namespace

// Regression test: each instance went on sending to a server that had named a
// limit, as long as it had free slots.
Test(server_limits, all_instances_together_stay_within_the_limit) {
    for (const std::size_t count : {1, 13, 19, 117}) {
        for (const double limit : {0.2, 1.0, 1.2, 6.0, 40.0}) {
            greedy_instances instances(count);
            instances.name(limit);
            const auto most = instances.busiest_window(seconds(120));
            cr_assert_leq(static_cast<double>(most), 1.5 * 4 * limit + 5,
                          "%zu instances, limit %f: %zu", count, limit, most);
            cr_assert_geq(static_cast<double>(instances.sent),
                          0.5 * limit * 120, "%zu instances, limit %f: %zu",
                          count, limit, instances.sent);
        }
    }
}

Test(server_limits, instance_that_knows_no_peers_yet_uses_no_share) {
    server_limits limits(1);
    cr_assert(limits.may_send("s", start));
    limits.on_named("s", 5, start);
    cr_assert_not(limits.may_send("s", start + seconds(4)));
    limits.set_instances("10.0.0.1:1", {});
    cr_assert_not(limits.may_send("s", start + seconds(4)));
    cr_assert(limits.may_send("s", start + seconds(5)));
}

Test(server_limits, lifted_limit_is_in_force_no_longer) {
    server_limits limits(1);
    cr_assert(limits.on_named("s", 0, start));
    cr_assert_not(limits.on_named("s", 0, start));
    cr_assert_not(limits.may_send("s", start + seconds(9)));
    cr_assert(limits.may_send("other", start));
    cr_assert(limits.on_lifted("s"));
    cr_assert_not(limits.on_lifted("s"));
    cr_assert(limits.may_send("s", start));
}

Test(server_limits, limit_in_a_response_is_a_decimal_number) {
    cr_assert_eq(*platform::parse_request_limit(" 1.2"), 1.2);
    cr_assert_eq(*platform::parse_request_limit("0"), 0);
    for (const char* text : {"", "-1", "nan", "inf", "1,5", "many", "1e999"}) {
        cr_assert_not(platform::parse_request_limit(text), "%s", text);
    }
}
