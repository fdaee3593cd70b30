#ifndef LACEWINGBEAM_ROUTER_ROUTER_PROCESS_HPP
#define LACEWINGBEAM_ROUTER_ROUTER_PROCESS_HPP

#include "adapters/daemon.hpp"
#include "adapters/event_loop.hpp"
#include "adapters/http_listener.hpp"
#include "adapters/metrics.hpp"
#include "adapters/peer_link.hpp"
#include "adapters/settings_watch.hpp"
#include "directory_sync.hpp"
#include "platform_binding.hpp"
#include "request_gateway.hpp"
#include "settings_types.h"

#include <optional>
#include <set>
#include <string>

// An entry instance that routes requests by host and path.
namespace lacewingbeam {

class router_process {
public:
    // Throws settings_error if the settings are invalid, and error if a port
    // cannot be bound.
    router_process(const daemon_options& options, platform_binding platform);

    // Serves until SIGTERM. Then finishes the requests in progress, at most
    // until the end of the grace period.
    void run();

private:
    void on_directory_changed(const directory::change& change);
    void handle_readiness(incoming_request& incoming);
    void handle_metrics(incoming_request& incoming);
    void update_instances();
    void update_forwarding_peers(time_point now);
    void check_loop_delay();
    void reload();
    void begin_stop();
    void stop_if_done();

    std::optional<int> memory_limit_; // of the command line
    settings::router_settings settings_;
    settings_watch settings_watch_;
    platform_binding platform_;
    event_loop loop_;
    metrics metrics_;
    memory_budget memory_;
    http_listener caller_listener_;
    http_listener readiness_listener_;
    http_listener metrics_listener_;
    peer_link peer_link_;
    std::optional<directory_follower> follower_;
    std::optional<request_router> router_;
    std::optional<request_gateway> gateway_;
    std::optional<directory_sync> sync_;
    scoped_event instance_update_timer_;
    scoped_event stop_timer_;
    scoped_event term_signal_;
    scoped_event reload_signal_;
    scoped_event settings_check_timer_;
    time_point last_loop_check_at_;
    std::set<incarnation> known_peers_;
    std::size_t sharing_instances_ = 0; // as last logged
    bool all_instances_known_ = false;
    duration max_loop_delay_{};
    std::optional<time_point> stopping_since_;
    time_point last_unsent_at_; // last time that a response had unsent bytes
};

} // namespace lacewingbeam

#endif
