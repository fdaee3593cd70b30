#include "metrics.hpp"

#include <prometheus/text_serializer.h>

namespace lacewingbeam {

namespace {

using prometheus::Histogram;

const Histogram::BucketBoundaries latency_bounds{
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 60};

template <class Metric>
prometheus::Family<Metric>& make_family(prometheus::Registry& registry,
                                        const std::string& name,
                                        const std::string& help);

template <>
prometheus::Family<prometheus::Counter>&
make_family(prometheus::Registry& registry, const std::string& name,
            const std::string& help) {
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

} // namespace

metrics::metrics()
    : calls_(make_family<prometheus::Counter>(
          registry_, "lacewingbeam_calls_total",
          "Calls answered, by service, verdict and reason")),
      latency_(prometheus::BuildHistogram()
                   .Name("lacewingbeam_call_seconds")
                   .Help("Time from a call's arrival to its end")
                   .Register(registry_)),
      attempts_(make_family<prometheus::Counter>(
          registry_, "lacewingbeam_attempts_total",
          "Requests sent to backend servers, by service and result")),
      probes_(make_family<prometheus::Counter>(
          registry_, "lacewingbeam_probes_total",
          "Probes sent to backend servers, by service")),
      platform_(make_family<prometheus::Counter>(
          registry_, "lacewingbeam_platform_requests_total",
          "Requests to the platform, by kind and result")),
      gauges_(prometheus::BuildGauge()
                  .Name("lacewingbeam_state")
                  .Help("Present state of the instance, by name")
                  .Register(registry_)) {}

void metrics::count_call(const std::string& service, const verdict& outcome,
                         duration latency) {
    const auto text = to_string(outcome);
    auto& counter = call_counters_[{service, text}];
    if (counter == nullptr) {
        counter = &calls_.Add({{"service", service},
                               {"verdict", std::string(kind_name(outcome))},
                               {"reason", std::string(reason_name(outcome))}});
    }
    counter->Increment();
    auto& histogram = latencies_[service];
    if (histogram == nullptr) {
        histogram = &latency_.Add({{"service", service}}, latency_bounds);
    }
    histogram->Observe(std::chrono::duration<double>(latency).count());
}

void metrics::count_attempt(const std::string& service,
                            std::string_view result) {
    attempts_.Add({{"service", service}, {"result", std::string(result)}})
        .Increment();
}

void metrics::count_probe(const std::string& service) {
    probes_.Add({{"service", service}}).Increment();
}

void metrics::count_platform_request(std::string_view kind, bool succeeded) {
    platform_
        .Add({{"kind", std::string(kind)},
              {"result", succeeded ? "good" : "failed"}})
        .Increment();
}

void metrics::set_gauge(std::string_view name, double value) {
    gauges_.Add({{"name", std::string(name)}}).Set(value);
}

std::string metrics::text() const {
    return prometheus::TextSerializer().Serialize(registry_.Collect());
}

} // namespace lacewingbeam
