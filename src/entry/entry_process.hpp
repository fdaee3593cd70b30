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

// Wires one instance: decisions, adapters and timers.
namespace lacewingbeam {

class entry_process {
public:
    // Throws error if a port or the key file can't be used.
    explicit entry_process(const settings::entry_settings& values);

    // Serves until SIGTERM or SIGINT and until the work under way is done.
    void run();

    // One line with the ports in use, for whoever started the process.
    std::string ports_line() const;

private:
    void run_actions(coordinator::actions& actions);
    void run(const probe_server& order);
    void run(const send_message& order);
    void probe(const server_key& server, const std::string& address);
    void take_probe_answer(const server_key& server, int status, bool draining,
                           const std::string& body);
    void tick();
    void watch_peers();
    void watch_table();
    void begin_stop();

    settings::entry_settings settings_;
    std::string key_;
    event_loop loop_;
    metrics counts_;
    connection_pool pool_;
    http_listener callers_;
    http_listener admins_;
    peer_link peers_;
    std::optional<coordinator> decisions_;
    trace_recorder traces_;
    std::optional<platform_client> platform_;
    std::optional<call_gateway> gateway_;
    std::optional<platform_sync> sync_;
    std::optional<admin_api> admin_;
    scoped_event tick_timer_;
    scoped_event watch_timer_;
    scoped_event term_signal_;
    scoped_event int_signal_;
    std::map<incarnation, member> known_peers_;
    bool confirmed_ = false;
};

} // namespace lacewingbeam

#endif
