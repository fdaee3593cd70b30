#ifndef LACEWINGBEAM_TEST_PATH_CLUSTER_HPP
#define LACEWINGBEAM_TEST_PATH_CLUSTER_HPP

#include "lacewingbeam/request_router.hpp"

#include <boost/random/uniform_int_distribution.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

// Instances between callers and backend servers, some of which lose their paths
// to the servers. Callers and the other instances reach them all the while.
namespace lacewingbeam::test {

enum class cut_kind {
    hangs,   // nothing comes back, connections cannot be made
    refuses, // open connections are reset, new ones refused
    one_way, // requests arrive, responses do not come back
};

class path_cluster {
public:
    static constexpr std::size_t services = 3;
    static constexpr std::size_t servers_per_service = 5;

    struct caller_request {
        std::size_t instance = 0;
        time_point sent_at;
        bool repeatable = false;
        bool served = false;
        bool ended = false;
        bool not_run = false; // as the caller was told
        unsigned runs = 0;
        unsigned forwards = 0;
    };

    path_cluster(std::size_t instances, std::uint64_t seed)
        : engine_(seed), known_(make_directory()) {
        std::vector<forwarding_peer> all;
        for (std::size_t i = 0; i < instances; ++i) {
            forwarding_peer peer;
            peer.address = std::to_string(i);
            peer.failure_domain = domain_of(i);
            all.push_back(peer);
        }
        for (std::size_t i = 0; i < instances; ++i) {
            router_options options;
            options.failure_domain = domain_of(i);
            options.repeats = {0.2, 60, std::chrono::seconds(10)};
            options.probes_per_second = 60;
            routers_.push_back(std::make_unique<request_router>(
                known_, options, seed * 100 + i));
            std::vector<std::string> ids;
            for (std::size_t s = 0; s < services * servers_per_service; ++s) {
                ids.push_back("s" + std::to_string(s));
            }
            routers_[i]->set_instances(instances);
            routers_[i]->set_sharing_instances(instances, true, now);
            routers_[i]->on_servers_changed(ids, now);
            auto peers = all;
            peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(i));
            routers_[i]->set_forwarding_peers(std::move(peers));
        }
    }

    // `requests_per_second` to all instances together.
    void run_for(duration length, double requests_per_second) {
        const auto end = now + length;
        const auto gap = duration(static_cast<duration::rep>(
            static_cast<double>(duration::period::den) / requests_per_second));
        for (; now < end; now += std::chrono::milliseconds(1)) {
            for (; next_request_ <= now; next_request_ += gap) {
                send_request();
            }
            while (!events_.empty() && events_.begin()->first <= now) {
                events_.extract(events_.begin()).mapped()();
            }
            for (std::size_t i = 0; i < routers_.size(); ++i) {
                const auto due = routers_[i]->next_due();
                if (due && *due <= now) {
                    execute(i, routers_[i]->on_tick(now));
                }
            }
        }
    }

    // Cuts the instance off from the servers of one service, or of all.
    void cut(std::size_t instance, cut_kind kind,
             std::optional<std::size_t> service = {}) {
        for (std::size_t s = 0; s < services; ++s) {
            if (!service || *service == s) {
                cuts_[{instance, s}] = kind;
            }
        }
    }
    void heal() { cuts_.clear(); }

    // All servers of the service end.
    void end_service(std::size_t service) { ended_services_.insert(service); }

    std::size_t draw_below(std::size_t limit) {
        return boost::random::uniform_int_distribution<std::size_t>(
            0, limit - 1)(engine_);
    }

    static std::string domain_of(std::size_t instance) {
        return std::to_string(instance % 3);
    }

    const request_router& router(std::size_t i) const { return *routers_[i]; }

    std::map<std::uint64_t, caller_request> requests;
    time_point now{std::chrono::seconds(100)};
    std::size_t paths_lost = 0; // reports by instances

private:
    static directory make_directory() {
        routing_table table;
        table.version = "1";
        for (std::size_t s = 0; s < services; ++s) {
            for (const bool repeatable : {true, false}) {
                route item;
                item.name = std::to_string(s) + (repeatable ? "r" : "o");
                item.host = "host";
                item.prefix = "/" + item.name + "/";
                item.services = {{"svc" + std::to_string(s), 1}};
                item.retry = repeatable ? retry_policy::retryable
                                        : retry_policy::at_most_once;
                item.max_attempts = 2;
                item.time_limit = std::chrono::milliseconds(1200);
                item.objective = std::chrono::milliseconds(300);
                table.routes.push_back(item);
            }
        }
        std::vector<raw_row> rows{make_row(table, 1)};
        for (std::size_t i = 0; i < services * servers_per_service; ++i) {
            registered_server server;
            server.id = "s" + std::to_string(i);
            server.service = "svc" + std::to_string(i / servers_per_service);
            server.address = "127.0.0.1:80";
            server.failure_domain = domain_of(i);
            server.slots = 6;
            rows.push_back(make_row(server, i + 2));
        }
        directory known;
        const time_point start{std::chrono::seconds(100)};
        known.apply(rows, start);
        known.set_routes_valid_until(start + std::chrono::hours(1));
        return known;
    }

    void later(duration delay, std::function<void()> step) {
        events_.emplace(now + delay, std::move(step));
    }

    void send_request() {
        const auto id = ++last_request_;
        auto& request = requests[id];
        request.instance = draw_below(routers_.size());
        request.sent_at = now;
        request.repeatable = draw_below(2) == 0;
        const auto path = "/" + std::to_string(draw_below(services)) +
                          (request.repeatable ? "r/x" : "o/x");
        paths_[id] = path;
        execute(request.instance, routers_[request.instance]->submit(
                                      {call_id{id}, "host", path,
                                       std::chrono::milliseconds(1500), id},
                                      now));
    }

    std::optional<cut_kind> cut_between(std::size_t instance,
                                        const std::string& server) const {
        const auto service = std::stoul(server.substr(1)) / servers_per_service;
        if (ended_services_.contains(service)) {
            return cut_kind::refuses;
        }
        const auto found = cuts_.find({instance, service});
        return found == cuts_.end() ? std::nullopt
                                    : std::optional(found->second);
    }

    // The calls of an instance: those of its callers, and those forwarded to
    // it, which have ids of their own.
    std::uint64_t caller_of(call_id call) const {
        const auto found = forwarded_.find(call);
        return found == forwarded_.end() ? static_cast<std::uint64_t>(call)
                                         : found->second.request;
    }

    void end_attempt(std::size_t i, attempt_id id,
                     const attempt_outcome& result) {
        execute(i, routers_[i]->on_attempt_ended(id, result, now));
    }

    void execute(std::size_t i, const send_action& action) {
        using std::chrono::milliseconds;
        const auto cut = cut_between(i, action.server);
        const auto id = action.attempt;
        if (cut == cut_kind::hangs || cut == cut_kind::refuses) {
            later(cut == cut_kind::hangs ? milliseconds(150) : milliseconds(1),
                  [this, i, id] {
                      end_attempt(
                          i, id,
                          attempt_not_run{not_run_reason::connect_failed});
                  });
            return;
        }
        const auto request = caller_of(action.call);
        ++requests.at(request).runs;
        later(milliseconds(20 + draw_below(60)), [this, i, id,
                                                  server = action.server] {
            const auto lost = cut_between(i, server);
            if (!lost) {
                end_attempt(i, id, attempt_answered{});
            } else if (*lost == cut_kind::refuses) {
                end_attempt(i, id,
                            attempt_unknown{
                                may_have_run_reason::connection_lost, true});
            }
        });
    }

    void execute(std::size_t i, const probe_action& action) {
        using std::chrono::milliseconds;
        const auto id = action.id;
        const auto cut = cut_between(i, action.server);
        if (!cut) {
            later(milliseconds(1), [this, i, id] {
                execute(i, routers_[i]->on_probe_answered(
                               id, server_load_sample{1, 0, 6, 1.0}, now));
            });
            return;
        }
        const bool refused = *cut == cut_kind::refuses;
        later(refused ? duration(milliseconds(1)) : action.timeout,
              [this, i, id, refused] {
                  execute(i, routers_[i]->on_probe_failed(
                                 id,
                                 refused ? probe_failure::unreachable
                                         : probe_failure::no_response,
                                 now));
              });
    }

    void execute(std::size_t i, const forward_action& action) {
        const auto call = call_id{next_forwarded_++};
        const auto request = caller_of(action.call);
        ++requests.at(request).forwards;
        forwarded_[call] = {i, action.attempt, request};
        const auto peer = std::stoul(action.peer.address);
        later(std::chrono::milliseconds(1), [this, call, peer, request,
                                             action] {
            execute(peer,
                    routers_[peer]->submit({call, "host", paths_.at(request),
                                            action.time_left, request, true,
                                            action.attempts},
                                           now));
        });
    }

    // Ends a caller's request, or tells the instance that forwarded it.
    void end_call(call_id call, const verdict& outcome) {
        const auto found = forwarded_.find(call);
        if (found == forwarded_.end()) {
            auto& request = requests.at(static_cast<std::uint64_t>(call));
            request.ended = true;
            request.served = std::holds_alternative<completed>(outcome);
            request.not_run =
                std::holds_alternative<lacewingbeam::not_run>(outcome);
            return;
        }
        attempt_outcome result = attempt_answered{};
        if (const auto* refused =
                std::get_if<lacewingbeam::not_run>(&outcome)) {
            result = attempt_not_run{refused->reason};
        } else if (const auto* unknown = std::get_if<may_have_run>(&outcome)) {
            result = attempt_unknown{unknown->reason};
        }
        const auto origin = found->second;
        later(std::chrono::milliseconds(1), [this, origin, result] {
            end_attempt(origin.instance, origin.attempt, result);
        });
    }

    void execute(std::size_t, const deliver_action& action) {
        end_call(action.call, completed{});
    }
    void execute(std::size_t, const finish_action& action) {
        end_call(action.call, action.outcome);
    }
    void execute(std::size_t, const path_action& action) {
        paths_lost += action.lost ? 1 : 0;
    }
    void execute(std::size_t, const cancel_action&) {}
    void execute(std::size_t, const report_action&) {}
    void execute(std::size_t, const quarantine_action&) {}

    void execute(std::size_t i, const request_router::actions& actions) {
        for (const auto& item : actions) {
            std::visit([&](const auto& action) { execute(i, action); }, item);
        }
    }

    struct forwarded_call {
        std::size_t instance = 0; // that forwarded it
        attempt_id attempt{};
        std::uint64_t request = 0;
    };

    static constexpr std::uint64_t first_forwarded = 1'000'000'000;

    random_engine engine_;
    directory known_;
    std::vector<std::unique_ptr<request_router>> routers_;
    std::map<std::pair<std::size_t, std::size_t>, cut_kind> cuts_;
    std::set<std::size_t> ended_services_;
    std::multimap<time_point, std::function<void()>> events_;
    std::map<std::uint64_t, std::string> paths_;
    std::map<call_id, forwarded_call> forwarded_;
    std::uint64_t next_forwarded_ = first_forwarded;
    std::uint64_t last_request_ = 0;
    time_point next_request_{std::chrono::seconds(100)};
};

} // namespace lacewingbeam::test

#endif
