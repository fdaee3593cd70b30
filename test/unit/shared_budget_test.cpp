#include "shedding_cluster.hpp"

#include <criterion/criterion.h>
#include <functional>

// Tests that all instances together stay within the budget of repeats, whatever
// they know of each other.
using namespace lacewingbeam;
using namespace lacewingbeam::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Disturbances in series that overlap, drawn from a seed.
class disturbances {
public:
    explicit disturbances(shedding_cluster& target) : target_(target) {}

    void run(time_point end) {
        while (target_.now() < end) {
            begin_one();
            run_for(milliseconds(200 + target_.draw_below(2500)), end);
        }
    }

private:
    void run_for(duration length, time_point end) {
        const auto until = std::min(end, target_.now() + length);
        while (target_.now() < until) {
            const auto next = pending_.empty()
                                  ? until
                                  : std::min(until, pending_.begin()->first);
            target_.run_until(std::max(next, target_.now()));
            while (!pending_.empty() &&
                   pending_.begin()->first <= target_.now()) {
                pending_.extract(pending_.begin()).mapped()();
            }
        }
    }

    void later(duration delay, std::function<void()> step) {
        pending_.emplace(target_.now() + delay, std::move(step));
    }

    void begin_one() {
        switch (target_.draw_below(5)) {
        case 0:
            return kill_some(0.5);
        case 1:
            return kill_some(1);
        case 2:
            return restart_in_turn();
        case 3:
            return split();
        default:
            return pause_some();
        }
    }

    void kill_some(double share) {
        for (std::size_t i = 0; i < target_.size(); ++i) {
            if (target_.draw() < share && target_.cluster.alive[i]) {
                kill_for(i, milliseconds(300 + target_.draw_below(1000)));
            }
        }
    }

    void kill_for(std::size_t i, duration length) {
        target_.kill(i);
        later(length, [this, i] { target_.restart(i); });
    }

    void restart_in_turn() {
        constexpr std::size_t at_once = 3;
        for (std::size_t i = 0; i < target_.size(); ++i) {
            later(milliseconds(400) * (i / at_once), [this, i] {
                if (target_.cluster.alive[i]) {
                    kill_for(i, milliseconds(400));
                }
            });
        }
    }

    void split() {
        std::vector<unsigned> sides;
        const double share = 0.2 + 0.6 * target_.draw();
        for (std::size_t i = 0; i < target_.size(); ++i) {
            sides.push_back(target_.draw() < share ? 1 : 0);
        }
        target_.cluster.split(std::move(sides));
        later(milliseconds(3000 + target_.draw_below(9000)),
              [this] { target_.cluster.heal(); });
    }

    void pause_some() {
        for (std::size_t i = 0; i < target_.size(); ++i) {
            if (target_.draw() < 0.3 && target_.cluster.alive[i]) {
                target_.set_paused(i, true);
                later(milliseconds(500 + target_.draw_below(3500)),
                      [this, i] { target_.set_paused(i, false); });
            }
        }
    }

    shedding_cluster& target_;
    std::multimap<time_point, std::function<void()>> pending_;
};

constexpr duration settling_time = seconds(4);

double excess_with_seed(shedding_options options, duration length) {
    shedding_cluster cluster(options);
    cluster.run_until(start + settling_time);
    disturbances(cluster).run(cluster.now() + length);
    return cluster.counter.largest_excess();
}

} // namespace

// Regression test: instances that started again, or knew of fewer peers than
// there were, took shares of the slack that others had used or held.
Test(shared_budget, random_disturbances_keep_arrivals_within_the_limit) {
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        shedding_options options;
        options.seed = seed;
        const auto excess = excess_with_seed(options, seconds(40));
        cr_expect_leq(excess, 0, "seed %zu: %f too many", std::size_t{seed},
                      excess);
    }
}

Test(shared_budget, restart_of_all_of_many_instances_stays_within_the_limit) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        shedding_options options;
        options.instances = 117;
        options.repeats.slack = 186;
        options.requests_per_second = 200;
        options.seed = seed;
        shedding_cluster cluster(options);
        cluster.run_until(start + settling_time);
        for (int round = 0; round < 2; ++round) {
            for (std::size_t i = 0; i < cluster.size(); ++i) {
                cluster.kill(i);
            }
            cluster.run_until(cluster.now() + seconds(1));
            for (std::size_t i = 0; i < cluster.size(); ++i) {
                cluster.restart(i);
            }
            cluster.run_until(cluster.now() + seconds(4));
        }
        const auto excess = cluster.counter.largest_excess();
        cr_expect_leq(excess, 0, "seed %zu: %f too many", std::size_t{seed},
                      excess);
    }
}

Test(shared_budget, halves_cut_off_from_each_other_stay_within_the_limit) {
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        shedding_options options;
        options.seed = seed;
        options.requests_per_second = 40;
        shedding_cluster cluster(options);
        cluster.run_until(start + seconds(12));
        std::vector<unsigned> sides;
        for (std::size_t i = 0; i < cluster.size(); ++i) {
            sides.push_back(i % 2);
        }
        cluster.cluster.split(sides);
        cluster.run_until(cluster.now() + seconds(25));
        cluster.cluster.heal();
        cluster.run_until(cluster.now() + seconds(5));
        const auto excess = cluster.counter.largest_excess();
        cr_expect_leq(excess, 0, "seed %zu: %f too many", std::size_t{seed},
                      excess);
    }
}

// Regression test: each side of a partition used the whole limit of a server
// once the other side was forgotten.
Test(shared_budget, sides_of_a_long_partition_keep_within_a_servers_limit) {
    constexpr std::size_t instances = 12;
    constexpr double limit = 10; // requests per second
    simulated_cluster cluster(instances, 0.01);
    cluster.run_until(start + seconds(10));
    std::vector<unsigned> sides;
    for (std::size_t i = 0; i < instances; ++i) {
        sides.push_back(i % 2);
    }
    cluster.split(sides);
    cluster.run_until(cluster.now + seconds(40));
    std::vector<server_limits> limits;
    for (std::size_t i = 0; i < instances; ++i) {
        auto& added = limits.emplace_back(i + 1);
        const auto& members = cluster.follower(i).members();
        added.set_instances(address_of(i),
                            members.sharing_addresses(cluster.now));
        added.on_named("s", limit, cluster.now);
    }
    std::size_t sent = 0;
    constexpr int window_s = 10;
    const auto from = cluster.now + seconds(2);
    for (auto now = from; now < from + seconds(window_s);
         now += milliseconds(10)) {
        for (auto& item : limits) {
            if (item.may_send("s", now)) {
                item.on_sent("s", now);
                ++sent;
            }
        }
    }
    // The operators' bound is half more than the limit, and a few.
    cr_assert_leq(static_cast<double>(sent), 1.5 * limit * window_s, "%zu",
                  sent);
    cr_assert_geq(static_cast<double>(sent), 0.5 * limit * window_s, "%zu",
                  sent);
}

// In a service that refuses most requests, the budget is what callers live on.
Test(shared_budget, shedding_service_gets_most_of_the_repeats_allowed) {
    shedding_options options;
    shedding_cluster cluster(options);
    cluster.run_until(start + seconds(60));
    const double windows = 6;
    const auto allowed = options.repeats.ratio *
                             static_cast<double>(cluster.counter.requests()) +
                         windows * options.repeats.slack;
    cr_assert_leq(cluster.counter.largest_excess(), 0);
    cr_assert_geq(static_cast<double>(cluster.counter.repeats()), 0.7 * allowed,
                  "%zu of %f", cluster.counter.repeats(), allowed);
}
