#include "faults.hpp"

// A request that crashes the servers that run it. Its caller sends it again and
// again, several times at once, to all routers.
namespace soak {

namespace {

constexpr std::size_t requests_per_burst = 4;
constexpr std::int64_t response_timeout_ms = 3500;

call_record send_crashing_request(call_record call,
                                  const std::string& address) {
    caller_connection connection;
    if (connection.open(address)) {
        call.response = connection.send_and_receive(
            "GET " + call.prefix + "deadly?bytes=100&work=30&series=" +
                std::to_string(call.crash_series) +
                " HTTP/1.1\r\nHost: callers.example\r\nX-Request-Id: " +
                call.id + "\r\nX-Deadline-Ms: 2000\r\n\r\n",
            response_timeout_ms);
    }
    call.ended_ms = now_ms();
    return call;
}

} // namespace

void fault_director::begin_crash_series(const fault& event) {
    constexpr std::size_t bursts = 3;
    constexpr std::int64_t burst_interval_ms = 4500;
    const auto series = ++crash_series_;
    const auto prefix =
        "/safe" + std::to_string(event.target % options_.services) + "/";
    for (std::size_t burst = 0; burst < bursts; ++burst) {
        schedule_step(burst_interval_ms * static_cast<std::int64_t>(burst),
                      [this, series, burst, prefix] {
                          send_crashing_requests(series, burst, prefix);
                      });
    }
}

void fault_director::send_crashing_requests(std::size_t series,
                                            std::size_t burst,
                                            const std::string& prefix) {
    for (std::size_t i = 0; i < requests_per_burst; ++i) {
        call_record call;
        call.id = "d" + std::to_string(series) + "-" + std::to_string(burst) +
                  "-" + std::to_string(i);
        call.prefix = prefix;
        call.repeatable = true;
        call.bytes = 100;
        call.crash_series = series;
        call.router = i % environment_.routers().size();
        const auto& router = *environment_.routers()[call.router];
        call.by_other_build = router.runs_other_build;
        call.sent_ms = now_ms();
        senders_.emplace_back([this, call, address = router.callers] {
            history_.add_call(send_crashing_request(call, address));
        });
    }
}

void fault_director::finish() {
    senders_.clear();
}

} // namespace soak
