#ifndef LACEWINGBEAM_ENTRY_ADMIN_API_HPP
#define LACEWINGBEAM_ENTRY_ADMIN_API_HPP

#include "../adapters/http_listener.hpp"
#include "../adapters/metrics.hpp"
#include "../adapters/peer_link.hpp"
#include "../adapters/trace_recorder.hpp"
#include "lacewingbeam/coordinator.hpp"

#include <memory>
#include <string>

// HTTP admin API of an instance: metrics, liveness, readiness, traces and the
// instance's state as JSON.
namespace lacewingbeam {

class admin_api {
public:
    admin_api(event_loop& loop, coordinator& coord, metrics& registry,
              const trace_recorder& traces, const peer_link& peers);

    void on_request(const std::shared_ptr<incoming_request>& incoming);

private:
    void dispatch(incoming_request& incoming);
    void serve_metrics(incoming_request& incoming);
    void serve_status(incoming_request& incoming);
    void serve_peers(incoming_request& incoming);
    void serve_servers(incoming_request& incoming);
    void serve_explain(incoming_request& incoming, const std::string& service);

    event_loop& loop_;
    coordinator& coordinator_;
    metrics& metrics_;
    const trace_recorder& traces_;
    const peer_link& peer_link_;
};

} // namespace lacewingbeam

#endif
