#include "faults.hpp"

#include <algorithm>
#include <optional>

// The schedule of faults, which depends on the options only.
namespace soak {

namespace {

// Kinds that are listed twice are drawn twice as often.
const std::vector<std::string> fault_kinds{
    "router_kill",   "router_pause",   "router_stop",   "router_stop",
    "router_reload", "server_kill",    "server_pause",  "server_leave",
    "server_leave",  "server_refuse",  "answers_lost",  "answers_extra",
    "answers_other", "answers_marked", "link_delay",    "link_cut",
    "link_silent",   "link_reset",     "link_refuse",   "store_refuse",
    "store_forget",  "store_pause",    "store_delay",   "store_silent",
    "store_cut",     "store_hole",     "store_restore", "edit",
    "edit"};

constexpr std::int64_t mean_gap_ms = 450;
constexpr std::int64_t min_duration_ms = 200;
constexpr std::int64_t max_duration_ms = 2500;

constexpr std::int64_t store_phase_ms = 5000;

class schedule_engine {
public:
    explicit schedule_engine(std::uint64_t seed) : engine_(seed) {}

    std::int64_t operator()(std::int64_t low, std::int64_t high) {
        return low + static_cast<std::int64_t>(
                         engine_() % static_cast<std::uint64_t>(high - low));
    }

private:
    std::mt19937_64 engine_;
};

// All servers shed load while half of the routers are killed, again and again.
void add_kills_under_shedding(const soak_options& options,
                              std::vector<fault>& schedule) {
    constexpr std::uint64_t stream = 1000003;
    schedule_engine draw_between(options.seed + stream);
    const auto end = options.length_ms - options.fault_free_ms;
    if (draw_between(0, 2) == 0) {
        return;
    }
    const auto from = draw_between(500, end / 2);
    schedule.push_back({from, "servers_shed", 0, end - from});
    for (auto at = from + draw_between(500, 3000); at < end - max_duration_ms;
         at += draw_between(1500, 4000)) {
        schedule.push_back({at, "routers_kill",
                            static_cast<std::size_t>(draw_between(0, 1000)),
                            draw_between(min_duration_ms, 1000)});
    }
}

// Some routers, up to all but one, lose their paths to all servers.
void add_path_cuts(const soak_options& options, std::vector<fault>& schedule) {
    constexpr std::uint64_t stream = 2000003;
    constexpr std::int64_t min_cut_ms = 4500;
    constexpr std::int64_t max_cut_ms = 7000;
    schedule_engine draw_between(options.seed + stream);
    const auto end = options.length_ms - options.fault_free_ms;
    if (draw_between(0, 2) == 0) {
        return;
    }
    for (auto at = draw_between(500, 4000); at + max_cut_ms < end;
         at += max_cut_ms + draw_between(300, 3000)) {
        schedule.push_back({at, "paths_cut",
                            static_cast<std::size_t>(draw_between(0, 1000)),
                            draw_between(min_cut_ms, max_cut_ms)});
    }
}

struct interval {
    std::int64_t low = 0;
    std::int64_t high = 0;
};

// Faults of one kind at random times up to end_ms, each of random duration.
struct fault_series {
    std::string kind;
    interval first;
    interval gap;
    std::int64_t end_ms = 0;
    std::optional<interval> duration;
};

void add_series(const fault_series& series, schedule_engine& draw_between,
                std::vector<fault>& schedule) {
    for (auto at = draw_between(series.first.low, series.first.high);
         at < series.end_ms;
         at += draw_between(series.gap.low, series.gap.high)) {
        fault event{at, series.kind,
                    static_cast<std::size_t>(draw_between(0, 1000)), 0};
        if (series.duration) {
            event.duration_ms =
                draw_between(series.duration->low, series.duration->high);
        }
        schedule.push_back(event);
    }
}

// A service loses all its servers, early enough for others to take their place.
void add_service_crashes(const soak_options& options,
                         std::vector<fault>& schedule) {
    constexpr std::uint64_t stream = 3000017;
    constexpr std::int64_t replacement_ms = 6500;
    schedule_engine draw_between(options.seed + stream);
    const auto end = options.length_ms - options.fault_free_ms - replacement_ms;
    if (draw_between(0, 2) == 0) {
        return;
    }
    add_series({"service_crash", {500, 4000}, {3000, 9000}, end, {}},
               draw_between, schedule);
}

// Servers send bytes that are no response.
void add_spoiled_answers(const soak_options& options,
                         std::vector<fault>& schedule) {
    constexpr std::uint64_t stream = 4000037;
    schedule_engine draw_between(options.seed + stream);
    const auto end = options.length_ms - options.fault_free_ms;
    add_series({"answers_spoiled",
                {500, 3000},
                {500, 3000},
                end,
                interval{min_duration_ms, max_duration_ms}},
               draw_between, schedule);
}

// A request crashes its servers, early enough for others to take their place.
void add_crash_series(const soak_options& options,
                      std::vector<fault>& schedule) {
    constexpr std::uint64_t stream = 6000011;
    constexpr std::int64_t series_ms = 10000;
    constexpr std::int64_t replacement_ms = 4000;
    schedule_engine draw_between(options.seed + stream);
    const auto end =
        options.length_ms - options.fault_free_ms - series_ms - replacement_ms;
    add_series({"crash_series", {500, 3000}, {4000, 9000}, end, {}},
               draw_between, schedule);
}

// A router stops while requests wait for slots.
void add_busy_stops(const soak_options& options, std::vector<fault>& schedule) {
    constexpr std::uint64_t stream = 5000011;
    constexpr std::int64_t stop_ms = 4500;
    schedule_engine draw_between(options.seed + stream);
    const auto end = options.length_ms - options.fault_free_ms - stop_ms;
    if (draw_between(0, 2) == 0) {
        return;
    }
    for (auto at = draw_between(500, 4000); at < end;
         at += stop_ms + draw_between(500, 4000)) {
        schedule.push_back({at, "servers_slow", 0, stop_ms});
        schedule.push_back({at + draw_between(0, 1000), "router_stop",
                            static_cast<std::size_t>(draw_between(0, 1000)),
                            0});
    }
}

} // namespace

std::vector<fault> draw_schedule(const soak_options& options) {
    schedule_engine draw_between(options.seed);
    std::vector<fault> schedule;
    const auto end =
        options.length_ms - options.fault_free_ms - max_duration_ms;
    for (auto at = draw_between(500, 1500); at < end;
         at += draw_between(0, 2 * mean_gap_ms)) {
        fault event;
        event.at_ms = at;
        event.kind = fault_kinds[static_cast<std::size_t>(
            draw_between(0, static_cast<std::int64_t>(fault_kinds.size())))];
        event.target = static_cast<std::size_t>(draw_between(0, 1000));
        event.duration_ms = draw_between(min_duration_ms, max_duration_ms);
        // The time bounds on edits and leaving servers hold only while the
        // store works, so part of the run has no store faults.
        const bool store_undisturbed = at / store_phase_ms % 3 != 0;
        if (!store_undisturbed || !event.kind.starts_with("store_")) {
            schedule.push_back(event);
        }
    }
    add_kills_under_shedding(options, schedule);
    add_path_cuts(options, schedule);
    add_service_crashes(options, schedule);
    add_spoiled_answers(options, schedule);
    add_busy_stops(options, schedule);
    add_crash_series(options, schedule);
    std::stable_sort(
        schedule.begin(), schedule.end(),
        [](const fault& a, const fault& b) { return a.at_ms < b.at_ms; });
    return schedule;
}

} // namespace soak
