#include "load_report.hpp"

#include <algorithm>

namespace lacewingbeam::bench {

namespace {

constexpr unsigned bin_count = 800;
constexpr double lowest_ms = 0.01;
constexpr double highest_ms = 100000;

} // namespace

latency_histogram::latency_histogram()
    : bins_(boost::histogram::make_histogram_with(
          storage(), axis(bin_count, lowest_ms, highest_ms))) {}

void latency_histogram::add(duration value) {
    bins_(std::max(lowest_ms, to_ms(value)));
    ++count_;
}

double latency_histogram::quantile(double share) const {
    if (count_ == 0) {
        return 0;
    }
    const double target_count = share * static_cast<double>(count_);
    double cumulative_count = 0;
    double upper = 0;
    for (const auto& bin :
         boost::histogram::indexed(bins_, boost::histogram::coverage::all)) {
        cumulative_count += *bin;
        upper = std::min(highest_ms, bin.bin().upper());
        if (cumulative_count >= target_count && cumulative_count > 0) {
            return upper;
        }
    }
    return upper;
}

load_report::load_report(const load_plan& plan)
    : plan_(plan), results_(plan.phases.size() * plan.classes.size()) {}

class_result& load_report::at(std::size_t phase, std::size_t work_class) {
    return results_.at(phase * plan_.classes.size() + work_class);
}

nlohmann::json load_report::to_json() const {
    auto phases = nlohmann::json::object();
    for (std::size_t i = 0; i < plan_.phases.size(); ++i) {
        auto& phase = phases[plan_.phases[i].name];
        const auto seconds =
            std::chrono::duration<double>(plan_.phases[i].length).count();
        for (std::size_t j = 0; j < plan_.classes.size(); ++j) {
            const auto& result = results_[i * plan_.classes.size() + j];
            const auto completed = result.completed.count();
            phase[plan_.classes[j].name] = {
                {"sent", result.sent},
                {"completed", completed},
                {"goodput", static_cast<double>(completed) / seconds},
                {"verdicts", result.verdicts},
                {"wrong", result.wrong},
                {"cut", result.cut},
                {"failed", result.failed},
                {"p50_ms", result.completed.quantile(0.5)},
                {"p99_ms", result.completed.quantile(0.99)},
                {"p999_ms", result.completed.quantile(0.999)},
                {"refused_p99_ms", result.refused.quantile(0.99)}};
        }
    }
    return {{"phases", std::move(phases)}, {"not_run_operations", not_run_}};
}

} // namespace lacewingbeam::bench
