#ifndef LACEWINGBEAM_BENCH_LOAD_REPORT_HPP
#define LACEWINGBEAM_BENCH_LOAD_REPORT_HPP

#include "load_plan.hpp"

#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

// What became of the load, by phase and class.
namespace lacewingbeam::bench {

// Latencies in logarithmic bins of about 2%.
class latency_histogram {
public:
    latency_histogram();

    void add(duration value);
    std::uint64_t count() const { return count_; }

    // In milliseconds; `share` from 0 to 1.
    double quantile(double share) const;

private:
    using axis =
        boost::histogram::axis::regular<double,
                                        boost::histogram::axis::transform::log>;
    using storage = boost::histogram::dense_storage<double>;

    boost::histogram::histogram<std::tuple<axis>, storage> bins_;
    std::uint64_t count_ = 0;
};

// One cell of the report.
struct class_result {
    latency_histogram completed; // from the planned time of sending
    latency_histogram refused;   // not_run answers, likewise
    std::map<std::string, std::uint64_t> verdicts;
    std::uint64_t sent = 0;
    std::uint64_t wrong = 0;  // whole answers with another call's content
    std::uint64_t cut = 0;    // started answers that broke off
    std::uint64_t failed = 0; // answers of 500 and above from backend servers
};

class load_report {
public:
    explicit load_report(const load_plan& plan);

    class_result& at(std::size_t phase, std::size_t work_class);

    // An operation that its caller was told did not run.
    void add_not_run(const std::string& operation) {
        not_run_.push_back(operation);
    }

    // {"phases":{NAME:{CLASS:{...}}},"not_run_operations":[...]}.
    nlohmann::json to_json() const;

private:
    const load_plan& plan_;
    std::vector<class_result> results_;
    std::vector<std::string> not_run_;
};

} // namespace lacewingbeam::bench

#endif
