#ifndef LACEWINGBEAM_TEST_ROUTER_FIXTURE_HPP
#define LACEWINGBEAM_TEST_ROUTER_FIXTURE_HPP

#include "lacewingbeam/request_router.hpp"

#include <string>
#include <vector>

// Runs a request router with a directory of a few servers, without a network.
namespace lacewingbeam::test {

inline const time_point start{std::chrono::seconds(100)};

struct router_fixture_options {
    unsigned servers = 4;
    unsigned slots = 3;
    unsigned remote_servers = 0; // the last ones, in failure domain "b"
    retry_policy retry = retry_policy::at_most_once;
    unsigned max_attempts = 2;
    router_options router;
};

class router_fixture {
public:
    explicit router_fixture(const router_fixture_options& options)
        : router(make_directory(options), options.router, 7) {
        router.on_servers_changed(ids(options.servers), start);
        now = start + std::chrono::seconds(10); // probe budgets are full
    }

    static std::vector<std::string> ids(unsigned count) {
        std::vector<std::string> names;
        for (unsigned i = 0; i < count; ++i) {
            names.push_back("s" + std::to_string(i));
        }
        return names;
    }

    // Submits a request on the only route.
    request_router::actions submit(std::uint64_t id) {
        return router.submit(
            {call_id{id}, "host", "/a/b", std::chrono::milliseconds(2000)},
            now);
    }

    // Answers every probe in `actions` and all probes that follow, which makes
    // the router decide.
    request_router::actions
    answer_probes(const request_router::actions& actions,
                  const server_load_sample& load) {
        request_router::actions out;
        for (const auto& action : pick<probe_action>(actions)) {
            auto next = router.on_probe_answered(action.id, load, now);
            for (auto& item : answer_probes(next, load)) {
                out.push_back(std::move(item));
            }
            for (auto& item : next) {
                if (!std::holds_alternative<probe_action>(item)) {
                    out.push_back(std::move(item));
                }
            }
        }
        return out;
    }

    template <class Action>
    static std::vector<Action> pick(const request_router::actions& actions) {
        std::vector<Action> found;
        for (const auto& item : actions) {
            if (const auto* action = std::get_if<Action>(&item)) {
                found.push_back(*action);
            }
        }
        return found;
    }

    directory known;
    request_router router;
    time_point now;

private:
    const directory& make_directory(const router_fixture_options& options) {
        routing_table table;
        table.version = "1";
        route item;
        item.name = "r";
        item.host = "host";
        item.prefix = "/a/";
        item.services = {{"svc", 1}};
        item.retry = options.retry;
        item.max_attempts = options.max_attempts;
        item.time_limit = std::chrono::milliseconds(1200);
        item.objective = std::chrono::milliseconds(300);
        table.routes.push_back(item);
        std::vector<raw_row> rows{make_row(table, 1)};
        for (const auto& id : ids(options.servers)) {
            registered_server server;
            server.id = id;
            server.service = "svc";
            server.address = "127.0.0.1:80";
            const bool remote =
                rows.size() > options.servers - options.remote_servers;
            server.failure_domain = remote ? "b" : "a";
            server.slots = options.slots;
            rows.push_back(make_row(server, rows.size() + 1));
        }
        known.apply(rows, start);
        return known;
    }
};

} // namespace lacewingbeam::test

#endif
