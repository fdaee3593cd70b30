#ifndef LACEWINGBEAM_ENTRY_PLATFORM_SYNC_HPP
#define LACEWINGBEAM_ENTRY_PLATFORM_SYNC_HPP

#include "../adapters/metrics.hpp"
#include "../adapters/platform_client.hpp"
#include "lacewingbeam/coordinator.hpp"

#include <string>

// Keeps the coordinator in touch with the platform: reads the table and the
// instance list in turn, and carries out claims and journal writes.
namespace lacewingbeam {

class platform_sync {
public:
    platform_sync(event_loop& loop, platform_client& platform,
                  coordinator& decisions, metrics& counts,
                  duration poll_interval);

    // Actions of the coordinator that concern the platform.
    void run(const write_claims& order);
    void run(const read_claim& order);
    void run(const write_journal& order);
    void run(const read_journal& order);

    // Decisions made here that are for others to carry out too.
    sigc::signal<void(coordinator::actions&)> decided;

private:
    void decide(coordinator::actions actions);
    void poll();
    void poll_table();
    void poll_instances();
    void note_platform(bool good);

    event_loop& loop_;
    platform_client& platform_;
    coordinator& decisions_;
    metrics& counts_;
    scoped_event timer_;
    bool table_pending_ = false;
    bool list_pending_ = false;
    bool good_ = true;
};

} // namespace lacewingbeam

#endif
