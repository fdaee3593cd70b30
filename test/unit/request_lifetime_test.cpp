#include "router_fixture.hpp"

#include <algorithm>
#include <criterion/criterion.h>
#include <map>
#include <set>

// Tests that each request ends exactly once, whatever ends meanwhile.
using namespace lacewingbeam;
using namespace lacewingbeam::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t service_count = 3;

// Drives a router with random events and follows its requests and attempts.
class random_run {
public:
    explicit random_run(std::uint64_t seed)
        : engine_(seed), router_(make_directory(), make_options(), seed) {
        router_.on_servers_changed(server_ids_, start);
        now_ = start + seconds(10);
        failing_ = draw(service_count);
        if (draw(2) == 0) {
            router_.set_forwarding_peers(
                {forwarding_peer{"127.0.0.1:1", {}, "a"},
                 forwarding_peer{"127.0.0.1:2", {}, "b"}});
        }
    }

    void run(std::size_t events) {
        const auto stop_after = draw(2 * events);
        for (std::size_t i = 0; i < events; ++i) {
            now_ += milliseconds(draw(12));
            if (i == stop_after) {
                ends_at_ = now_ + milliseconds(draw(1500));
                router_.begin_stop(now_ + milliseconds(draw(500)), *ends_at_);
            }
            step();
            check_count();
        }
        end_all();
    }

private:
    struct sent_attempt {
        std::uint64_t call = 0;
        std::string server; // empty: forwarded
    };

    std::uint64_t draw(std::uint64_t below) { return engine_() % below; }

    router_options make_options() {
        router_options options;
        options.repeats.slack = static_cast<double>(draw(3)) * 20;
        options.probes_per_second = static_cast<double>(draw(3)) * 40;
        if (draw(4) == 0) {
            options.policy = power_of_two_placement{};
        }
        return options;
    }

    const directory& make_directory() {
        routing_table table;
        table.version = "1";
        for (std::size_t s = 0; s < service_count; ++s) {
            for (const bool repeatable : {true, false}) {
                route item;
                item.name = std::to_string(s) + (repeatable ? "r" : "o");
                item.host = "host";
                item.prefix = "/" + item.name + "/";
                item.services = {{"svc" + std::to_string(s), 1}};
                item.retry = repeatable ? retry_policy::retryable
                                        : retry_policy::at_most_once;
                item.max_attempts = 1 + static_cast<unsigned>(draw(3));
                item.time_limit = milliseconds(300 + draw(1000));
                item.objective = milliseconds(200);
                table.routes.push_back(item);
            }
        }
        std::vector<raw_row> rows{make_row(table, 1)};
        for (std::size_t s = 0; s < service_count; ++s) {
            const auto count = 1 + draw(4);
            for (std::size_t i = 0; i < count; ++i) {
                registered_server server;
                server.id = std::to_string(s) + "-" + std::to_string(i);
                server.service = "svc" + std::to_string(s);
                server.address = "127.0.0.1:80";
                server.slots = 1 + static_cast<unsigned>(draw(3));
                rows.push_back(make_row(server, rows.size() + 1));
                server_ids_.push_back(server.id);
            }
        }
        known_.apply(rows, start);
        return known_;
    }

    void step() {
        switch (draw(9)) {
        case 0:
        case 1:
            submit();
            break;
        case 2:
        case 3:
            end_probe();
            break;
        case 4:
        case 5:
            end_attempt();
            break;
        case 6:
            leave();
            break;
        case 7:
            notice();
            break;
        default:
            tick();
        }
    }

    void submit() {
        const auto id = next_call_++;
        const auto name =
            std::to_string(draw(service_count)) + (draw(2) == 0 ? "r" : "o");
        open_.insert(id);
        routed_request request{call_id{id}, "host", "/" + name + "/x",
                               milliseconds(2000), 1 + draw(6)};
        request.forwarded = draw(8) == 0;
        execute(router_.submit(request, now_));
    }

    bool fails(const std::string& server) const {
        return server.starts_with(std::to_string(failing_));
    }

    void end_probe() {
        if (probes_.empty()) {
            return;
        }
        const auto found =
            std::next(probes_.begin(), static_cast<long>(draw(probes_.size())));
        const auto [id, server] = *found;
        probes_.erase(found);
        if (fails(server)) {
            constexpr std::array<probe_failure, 4> failures{
                probe_failure::refused, probe_failure::no_response,
                probe_failure::unreachable, probe_failure::connection_broken};
            execute(router_.on_probe_failed(id, failures.at(draw(4)), now_));
            return;
        }
        const server_load_sample load{static_cast<unsigned>(draw(4)),
                                      static_cast<unsigned>(draw(3)), 3, 1};
        execute(router_.on_probe_answered(id, load, now_));
    }

    attempt_outcome draw_outcome(const std::string& server) {
        if (server.empty()) {
            constexpr std::array<not_run_reason, 4> reasons{
                not_run_reason::no_path, not_run_reason::connect_failed,
                not_run_reason::shed, not_run_reason::instance_stopping};
            return draw(2) == 0
                       ? attempt_outcome(attempt_not_run{reasons.at(draw(4))})
                       : attempt_answered{};
        }
        const auto kind = fails(server) ? draw(6) : draw(30);
        if (kind < 2) {
            return attempt_not_run{not_run_reason::connect_failed};
        }
        if (kind == 2) {
            return attempt_not_run{not_run_reason::shed};
        }
        if (kind < 5) {
            return attempt_unknown{may_have_run_reason::connection_lost,
                                   kind == 3};
        }
        return attempt_answered{kind == 5, 1};
    }

    void end_attempt() {
        if (attempts_.empty()) {
            return;
        }
        const auto found = std::next(attempts_.begin(),
                                     static_cast<long>(draw(attempts_.size())));
        const auto [id, attempt] = *found;
        const auto outcome = draw_outcome(attempt.server);
        execute(router_.on_attempt_ended(id, outcome, now_));
        attempts_.erase(id);
        if (!attempt.server.empty() && draw(2) == 0) {
            execute(router_.on_load(attempt.server, {0, 0, 3, 1}, now_));
        }
    }

    void leave() {
        if (open_.empty()) {
            return;
        }
        const auto id =
            *std::next(open_.begin(), static_cast<long>(draw(open_.size())));
        open_.erase(id);
        execute(router_.on_caller_gone(call_id{id}, now_));
    }

    void notice() {
        const auto& server = server_ids_.at(draw(server_ids_.size()));
        switch (draw(6)) {
        case 0:
            router_.on_limit(server, 5, now_);
            break;
        case 1:
            router_.on_limit(server, std::nullopt, now_);
            break;
        case 2:
            router_.on_server_pause(server, milliseconds(draw(300)), now_);
            break;
        case 3:
            failing_ = draw(service_count + 1);
            break;
        default:
            break;
        }
    }

    void tick() {
        const auto due = router_.next_due();
        if (due && *due <= now_ + milliseconds(60)) {
            now_ = std::max(now_, *due);
        }
        // A hedge may be due at once. What stays due would spin the event loop.
        constexpr int max_rounds = 5;
        int rounds = 0;
        do {
            execute(router_.on_tick(now_));
            cr_assert_leq(++rounds, max_rounds);
        } while (router_.next_due().value_or(time_point::max()) <= now_);
    }

    void execute(const request_router::actions& actions) {
        for (const auto& item : actions) {
            std::visit([this](const auto& action) { note(action); }, item);
        }
    }
    void note(const probe_action& action) {
        probes_[action.id] = action.server;
    }
    void note(const send_action& action) {
        cr_assert(!ends_at_ || now_ + action.time_left <= *ends_at_);
        attempts_[action.attempt] = {static_cast<std::uint64_t>(action.call),
                                     action.server};
    }
    void note(const forward_action& action) {
        attempts_[action.attempt] = {static_cast<std::uint64_t>(action.call),
                                     ""};
    }
    void note(const cancel_action& action) {
        cr_assert_eq(attempts_.erase(action.attempt), 1);
    }
    void note(const deliver_action& action) {
        cr_assert(attempts_.contains(action.attempt));
        end(static_cast<std::uint64_t>(action.call));
    }
    void note(const finish_action& action) {
        end(static_cast<std::uint64_t>(action.call));
    }
    void note(const path_action&) {}
    void note(const report_action&) {}
    void note(const quarantine_action&) {}

    void end(std::uint64_t call) {
        cr_assert_eq(open_.erase(call), 1, "request %zu ended twice",
                     std::size_t{call});
    }

    void check_count() const {
        cr_assert_eq(router_.requests(), open_.size(), "%zu, open %zu",
                     router_.requests(), open_.size());
    }

    void end_all() {
        if (ends_at_ && now_ < *ends_at_) {
            now_ = *ends_at_;
            execute(router_.on_tick(now_));
            cr_assert_eq(router_.requests(), 0);
        }
        for (int i = 0; i < 400 && !open_.empty(); ++i) {
            now_ += milliseconds(20);
            execute(router_.on_tick(now_));
        }
        cr_assert(open_.empty());
        cr_assert_eq(router_.requests(), 0);
    }

    random_engine engine_;
    directory known_;
    std::vector<std::string> server_ids_;
    request_router router_;
    time_point now_;
    std::optional<time_point> ends_at_; // once it stops
    std::size_t failing_ = 0;           // the service whose servers fail
    std::uint64_t next_call_ = 1;
    std::set<std::uint64_t> open_;
    std::map<probe_id, std::string> probes_;
    std::map<attempt_id, sent_attempt> attempts_;
};

} // namespace

// Regression test: the refused connection that showed that the path was lost
// ended its own request, which was then used and ended once more.
Test(request_lifetime, refused_connections_to_the_only_server_end_once) {
    router_fixture fixture({.servers = 1, .slots = 8});
    std::vector<attempt_id> sent;
    std::vector<finish_action> ended;
    const auto note = [&](const request_router::actions& actions) {
        for (const auto& item : router_fixture::pick<send_action>(actions)) {
            sent.push_back(item.attempt);
        }
        for (const auto& item : router_fixture::pick<finish_action>(actions)) {
            ended.push_back(item);
        }
    };
    for (std::uint64_t id = 1; id <= 4; ++id) {
        note(fixture.answer_probes(fixture.submit(id), {0, 0, 8, 1}));
    }
    cr_assert_eq(sent.size(), 4);
    for (const auto attempt : sent) {
        const attempt_not_run refused{not_run_reason::connect_failed};
        const auto actions =
            fixture.router.on_attempt_ended(attempt, refused, fixture.now);
        // The only server was tried, so there is none to ask.
        cr_assert(router_fixture::pick<probe_action>(actions).empty());
        note(actions);
        fixture.now += milliseconds(60);
    }

    std::map<call_id, int> count;
    for (const auto& item : ended) {
        cr_assert_eq(++count[item.call], 1);
    }
    cr_assert_eq(count.size(), 4);
    cr_assert_eq(fixture.router.requests(), 0);
}

Test(request_lifetime, random_failures_end_each_request_once) {
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        random_run(seed).run(1500);
    }
}
