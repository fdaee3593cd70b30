#ifndef LACEWINGBEAM_ENTRY_PLATFORM_SYNC_HPP
#define LACEWINGBEAM_ENTRY_PLATFORM_SYNC_HPP

#include "../adapters/metrics.hpp"
#include "../adapters/platform_client.hpp"
#include "lacewingbeam/coordinator.hpp"

#include <string>

// Connects the coordinator to the platform: polls the table and the instance
// list, and executes the coordinator's reads and writes of claims and journal
// entries.
namespace lacewingbeam {

class platform_sync {
public:
    platform_sync(event_loop& loop, platform_client& platform,
                  coordinator& coord, metrics& registry,
                  duration poll_interval);

    // Execute the actions of the coordinator that concern the platform.
    void execute(const write_claims& command);
    void execute(const read_claim& command);
    void execute(const write_journal& command);
    void execute(const read_journal& command);

    // Emitted with the actions returned by the coordinator. The receiver
    // executes them, including those that other components execute.
    sigc::signal<void(coordinator::actions&)> actions_ready;

private:
    void emit_actions(coordinator::actions actions);
    void poll();
    void poll_table();
    void poll_instances();
    void record_table_read(bool succeeded);

    event_loop& loop_;
    platform_client& platform_;
    coordinator& coordinator_;
    metrics& metrics_;
    scoped_event timer_;
    bool table_read_pending_ = false;
    bool instances_read_pending_ = false;
    bool platform_available_ = true;
};

} // namespace lacewingbeam

#endif
