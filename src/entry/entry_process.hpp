#ifndef LACEWINGBEAM_ENTRY_ENTRY_PROCESS_HPP
#define LACEWINGBEAM_ENTRY_ENTRY_PROCESS_HPP

#include "../adapters/connection_pool.hpp"
#include "../adapters/http_listener.hpp"
#include "../adapters/metrics.hpp"
#include "../adapters/peer_link.hpp"
#include "../adapters/platform_client.hpp"
#include "../adapters/trace_recorder.hpp"
#include "admin_api.hpp"
#include "call_gateway.hpp"
#include "lacewingbeam/coordinator.hpp"
#include "platform_sync.hpp"
#include "settings_types.h"

#include <map>
#include <optional>
#include <string>

// One instance: the coordinator together with its network adapters and timers.
namespace lacewingbeam {

class entry_process {
public:
    // Throws error if a port cannot be bound or the key file is unusable.
    explicit entry_process(const settings::entry_settings& values);

    // Serves until SIGTERM or SIGINT is received, then drains: returns once the
    // pending calls are finished and the instance may exit.
    void run();

    // Returns a line with the listening addresses. A supervisor or test reads
    // it from standard output, because port 0 selects a free port.
    std::string ports_line() const;

private:
    void execute_actions(coordinator::actions& actions);
    void execute(const probe_server& command);
    void execute(const send_message& command);
    void send_probe(const server_key& server, const std::string& address);
    void on_probe_response(const server_key& server, int status, bool draining,
                           const std::string& body);
    void tick();
    void log_peer_changes();
    void log_table_confirmation();
    void begin_stop();

    settings::entry_settings settings_;
    std::string key_;
    event_loop loop_;
    metrics metrics_;
    memory_budget memory_;
    connection_pool pool_;
    http_listener caller_listener_;
    http_listener admin_listener_;
    peer_link peer_link_;
    std::optional<coordinator> coordinator_;
    trace_recorder traces_;
    std::optional<platform_client> platform_;
    std::optional<call_gateway> gateway_;
    std::optional<platform_sync> platform_sync_;
    std::optional<admin_api> admin_api_;
    scoped_event tick_timer_;
    scoped_event change_log_timer_;
    scoped_event term_signal_;
    scoped_event int_signal_;
    std::map<incarnation, member> logged_peers_;
    bool table_confirmed_ = false;
};

} // namespace lacewingbeam

#endif
