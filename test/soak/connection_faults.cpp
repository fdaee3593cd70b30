#include "faults.hpp"

#include <csignal>

// Faults of connections and of the store.
namespace soak {

namespace {

using testing_support::json;

// Time from a restore of the store until lost rows are written again, and until
// all instances have read them.
constexpr std::int64_t write_again_delay_ms = 800;
constexpr std::int64_t restore_effect_ms = 3000;

} // namespace

void fault_director::begin_link_fault(const fault& event,
                                      const std::string& control) {
    const auto set = [control](const json& settings) {
        testing_support::installation::control(control, settings);
    };
    constexpr int max_delay_ms = 300;
    if (event.kind.ends_with("_delay")) {
        set({{"delay_ms", event.duration_ms % max_delay_ms}});
        schedule_step(event.duration_ms, [set] { set({{"delay_ms", 0}}); });
    } else if (event.kind.ends_with("_cut")) {
        constexpr int max_bytes = 600;
        set({{"cut_answers", 5},
             {"cut_after_bytes", event.duration_ms % max_bytes}});
        schedule_step(event.duration_ms, [set] { set({{"cut_answers", 0}}); });
    } else if (event.kind.ends_with("_silent")) {
        set({{"silence_open", true}});
    } else if (event.kind.ends_with("_reset")) {
        set({{"close_open", true}});
    } else if (event.kind.ends_with("_hole")) {
        set({{"blackhole", true}, {"silence_open", true}});
        schedule_step(event.duration_ms, [set] {
            set({{"blackhole", false}, {"close_open", true}});
        });
    } else {
        set({{"refuse", true}, {"close_open", true}});
        schedule_step(event.duration_ms, [set] { set({{"refuse", false}}); });
    }
}

void fault_director::begin_store_fault(const fault& event) {
    const auto store = environment_.store_address();
    const bool on_link =
        event.kind == "store_delay" || event.kind == "store_silent" ||
        event.kind == "store_cut" || event.kind == "store_hole";
    if (store_unavailable_ && !on_link) {
        return; // a paused store would not answer the request for the fault
    }
    if (event.kind == "store_refuse" || event.kind == "store_pause") {
        store_unavailable_ = true;
    }
    add_disturbance(disturbance::all_routers, event.duration_ms, event.kind);
    if (event.kind == "store_refuse") {
        const int status = event.duration_ms % 2 == 0 ? 503 : 429;
        testing_support::installation::control(store,
                                               {{"refuse_status", status}});
        schedule_step(event.duration_ms, [this, store] {
            testing_support::installation::control(store,
                                                   {{"refuse_status", 0}});
            store_unavailable_ = false;
        });
    } else if (event.kind == "store_restore") {
        begin_restore(event);
    } else if (event.kind == "store_forget") {
        testing_support::installation::control(store,
                                               {{"forget_history", true}});
    } else if (event.kind == "store_pause") {
        environment_.store_process().signal(SIGSTOP);
        schedule_step(event.duration_ms, [this] {
            environment_.store_process().signal(SIGCONT);
            store_unavailable_ = false;
        });
    } else {
        const auto& proxy =
            store_proxies_[event.target % store_proxies_.size()];
        begin_link_fault(event, proxy->control);
    }
}

// The store loses what is written in the next duration_ms. Edits and servers
// are written again a little later.
void fault_director::begin_restore(const fault& event) {
    if (std::exchange(restore_pending_, true)) {
        return; // one restore at a time
    }
    environment_.copy_store();
    schedule_step(event.duration_ms, [this] {
        when_store_accepts_writes([this] {
            add_disturbance(disturbance::all_routers, restore_effect_ms,
                            "store_restore");
            environment_.restore_store();
            schedule_step(write_again_delay_ms, [this] {
                when_store_accepts_writes([this] {
                    environment_.write_again();
                    restore_pending_ = false;
                });
            });
        });
    });
}

} // namespace soak
