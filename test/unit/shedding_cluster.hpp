#ifndef LACEWINGBEAM_TEST_SHEDDING_CLUSTER_HPP
#define LACEWINGBEAM_TEST_SHEDDING_CLUSTER_HPP

#include "lacewingbeam/request_router.hpp"
#include "simulated_cluster.hpp"

#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <deque>
#include <map>
#include <set>

// Many instances that send requests to servers which refuse most of them, while
// instances are killed, paused, and cut off from each other.
namespace lacewingbeam::test {

struct shedding_options {
    std::size_t instances = 19;
    repeat_limits repeats{0.2, 64, seconds(10)};
    double requests_per_second = 70; // to all instances
    double refused_share = 0.6;
    std::uint64_t seed = 1;
};

// Counts at the servers, as the operators' rule does: in every window, at most
// `ratio` arrivals beyond the first of their request for each request, plus
// `slack`. The requests are those of this window, of the one before, or of the
// one that began half a window before, whichever has most.
class repeat_counter {
public:
    explicit repeat_counter(repeat_limits limits) : limits_(limits) {}

    void on_request(time_point now) { requests_.push_back(now); }

    void on_arrival(std::uint64_t request, time_point at) {
        if (!arrived_.insert(request).second) {
            repeats_.push_back(at);
        }
    }

    // Returns the largest excess of a window over what is allowed in it;
    // negative if all windows are within the limit.
    double largest_excess() {
        std::sort(repeats_.begin(), repeats_.end());
        double excess = -limits_.slack;
        for (auto end = repeats_.begin(); end != repeats_.end(); ++end) {
            const auto first =
                std::upper_bound(repeats_.begin(), end, *end - limits_.window);
            const auto requests =
                std::max({requests_until(*end),
                          requests_until(*end - limits_.window / 2),
                          requests_until(*end - limits_.window)});
            excess =
                std::max(excess, static_cast<double>(end - first + 1) -
                                     limits_.ratio * requests - limits_.slack);
        }
        return excess;
    }

    std::size_t repeats() const { return repeats_.size(); }
    std::size_t requests() const { return requests_.size(); }

private:
    double requests_until(time_point end) const {
        const auto from = std::upper_bound(requests_.begin(), requests_.end(),
                                           end - limits_.window);
        const auto to =
            std::upper_bound(requests_.begin(), requests_.end(), end);
        return static_cast<double>(std::max<std::ptrdiff_t>(0, to - from));
    }

    repeat_limits limits_;
    std::vector<time_point> requests_;
    std::vector<time_point> repeats_;
    std::set<std::uint64_t> arrived_;
};

class shedding_cluster {
public:
    explicit shedding_cluster(shedding_options options)
        : counter(options.repeats), cluster(options.instances, 0.01),
          options_(options), engine_(options.seed), known_(make_directory()) {
        for (std::size_t i = 0; i < options.instances; ++i) {
            routers_.push_back(make_router(i));
        }
        paused_.assign(options.instances, false);
    }

    time_point now() const { return cluster.now; }

    void run_until(time_point end) {
        while (now() < end) {
            cluster.run_until(now() + milliseconds(1));
            for (std::size_t i = 0; i < routers_.size(); ++i) {
                update_instances(i);
            }
            send_requests();
            answer_attempts();
            for (std::size_t i = 0; i < routers_.size(); ++i) {
                const auto due = routers_[i]->next_due();
                if (runs(i) && due && *due <= now()) {
                    execute(i, routers_[i]->on_tick(now()));
                }
            }
        }
    }

    void kill(std::size_t instance) {
        cluster.alive[instance] = false;
        std::erase_if(attempts_, [&](const attempt& item) {
            return item.instance == instance;
        });
    }

    void restart(std::size_t instance) {
        cluster.restart(instance);
        routers_[instance] = make_router(instance);
        paused_[instance] = false;
    }

    void set_paused(std::size_t instance, bool paused) {
        paused_[instance] = paused;
        cluster.set_paused(instance, paused);
    }

    void set_refused_share(double share) { options_.refused_share = share; }

    // Requests of this instance reach the servers this much later.
    void delay_sends(std::size_t instance, duration delay) {
        send_delays_[instance] = delay;
    }

    bool runs(std::size_t instance) const {
        return cluster.alive[instance] && !paused_[instance];
    }

    std::size_t size() const { return routers_.size(); }

    double draw() {
        return boost::random::uniform_real_distribution<double>(0, 1)(engine_);
    }
    std::size_t draw_below(std::size_t end) {
        return boost::random::uniform_int_distribution<std::size_t>(0, end - 1)(
            engine_);
    }

    repeat_counter counter;
    simulated_cluster cluster;

private:
    static constexpr std::size_t servers = 6;

    struct attempt {
        time_point ends_at;
        std::size_t instance = 0;
        attempt_id id{};
        std::uint64_t request = 0;
    };

    static directory make_directory() {
        routing_table table;
        table.version = "1";
        route item;
        item.name = "r";
        item.host = "host";
        item.prefix = "/a/";
        item.services = {{"svc", 1}};
        item.retry = retry_policy::retryable;
        item.max_attempts = 4;
        item.time_limit = seconds(2);
        item.objective = milliseconds(300);
        table.routes.push_back(item);
        std::vector<raw_row> rows{make_row(table, 1)};
        for (std::size_t i = 0; i < servers; ++i) {
            registered_server server;
            server.id = "s" + std::to_string(i);
            server.service = "svc";
            server.address = "127.0.0.1:80";
            server.slots = 3;
            rows.push_back(make_row(server, rows.size() + 1));
        }
        directory known;
        known.apply(rows, start);
        known.set_routes_valid_until(start + seconds(10000));
        return known;
    }

    std::unique_ptr<request_router> make_router(std::size_t number) {
        router_options options;
        options.policy = random_placement{};
        options.repeats = options_.repeats;
        options.hedge_at = 0.1;
        auto router = std::make_unique<request_router>(
            known_, options, options_.seed * 1000 + number);
        next_update_[number] = now();
        return router;
    }

    // As the process does.
    void update_instances(std::size_t i) {
        if (runs(i) && now() >= next_update_[i]) {
            next_update_[i] = now() + milliseconds(250);
            const auto& follower = cluster.follower(i);
            routers_[i]->set_sharing_instances(
                follower.sharing_instance_count(now()),
                follower.knows_peers(now()), now());
        }
    }

    void send_requests() {
        constexpr double step_s = 0.001;
        for (double due = options_.requests_per_second * step_s;
             due > 0 && draw() < due; due -= 1) {
            const auto instance = draw_below(routers_.size());
            if (!cluster.alive[instance]) {
                continue;
            }
            const auto id = ++last_request_;
            counter.on_request(now());
            arrivals_[instance].push_back(id);
        }
        for (auto& [instance, waiting] : arrivals_) {
            for (; runs(instance) && !waiting.empty(); waiting.pop_front()) {
                execute(instance,
                        routers_[instance]->submit({call_id{waiting.front()},
                                                    "host", "/a/b", seconds(2)},
                                                   now()));
            }
        }
    }

    void answer_attempts() {
        std::vector<attempt> ended;
        std::erase_if(attempts_, [&](const attempt& item) {
            const bool due = item.ends_at <= now() && runs(item.instance);
            if (due) {
                ended.push_back(item);
            }
            return due;
        });
        for (const auto& item : ended) {
            const bool refused = draw() < options_.refused_share;
            const attempt_outcome outcome =
                refused ? attempt_outcome(attempt_not_run{not_run_reason::shed})
                        : attempt_outcome(attempt_answered{});
            execute(item.instance, routers_[item.instance]->on_attempt_ended(
                                       item.id, outcome, now()));
        }
    }

    void execute(std::size_t instance, const request_router::actions& actions) {
        for (const auto& item : actions) {
            if (const auto* send = std::get_if<send_action>(&item)) {
                const auto arrives = now() + send_delays_[instance];
                const auto request = static_cast<std::uint64_t>(send->call);
                counter.on_arrival(request, arrives);
                const auto work = milliseconds(2 + draw_below(60));
                attempts_.push_back(
                    {arrives + work, instance, send->attempt, request});
            }
        }
    }

    shedding_options options_;
    random_engine engine_;
    directory known_;
    std::vector<std::unique_ptr<request_router>> routers_;
    std::vector<bool> paused_;
    std::map<std::size_t, time_point> next_update_;
    std::map<std::size_t, duration> send_delays_;
    std::map<std::size_t, std::deque<std::uint64_t>> arrivals_;
    std::vector<attempt> attempts_;
    std::uint64_t last_request_ = 0;
};

} // namespace lacewingbeam::test

#endif
