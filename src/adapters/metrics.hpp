#ifndef LACEWINGBEAM_ADAPTERS_METRICS_HPP
#define LACEWINGBEAM_ADAPTERS_METRICS_HPP

#include "lacewingbeam/core.hpp"
#include "lacewingbeam/verdict.hpp"

#include <map>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>
#include <string_view>
#include <utility>

// What an instance counts, in Prometheus' text form. Label values come only
// from the table and from fixed lists, so their number is bounded.
namespace lacewingbeam {

class metrics {
public:
    metrics();

    void count_call(const std::string& service, const verdict& outcome,
                    duration latency);
    void count_attempt(const std::string& service, std::string_view result);
    void count_probe(const std::string& service);
    void count_platform_request(std::string_view kind, bool succeeded);
    void set_gauge(std::string_view name, double value);

    // The exposition text.
    std::string text() const;

private:
    prometheus::Registry registry_;
    prometheus::Family<prometheus::Counter>& calls_;
    prometheus::Family<prometheus::Histogram>& latency_;
    prometheus::Family<prometheus::Counter>& attempts_;
    prometheus::Family<prometheus::Counter>& probes_;
    prometheus::Family<prometheus::Counter>& platform_;
    prometheus::Family<prometheus::Gauge>& gauges_;
    std::map<std::pair<std::string, std::string>, prometheus::Counter*>
        call_counters_;
    std::map<std::string, prometheus::Histogram*> latencies_;
};

} // namespace lacewingbeam

#endif
