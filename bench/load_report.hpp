#ifndef LACEWINGBEAM_BENCH_LOAD_REPORT_HPP
#define LACEWINGBEAM_BENCH_LOAD_REPORT_HPP

#include "load_plan.hpp"

#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

// Results of a load run by phase and class.
namespace lacewingbeam::bench {

// Latency histogram with logarithmic bins about 2% wide.
class latency_histogram {
public:
    latency_histogram();

    void add(duration value);
    std::uint64_t count() const { return count_; }

    // Returns milliseconds; `share` is between 0 and 1.
    double quantile(double share) const;

private:
    using axis =
        boost::histogram::axis::regular<double,
                                        boost::histogram::axis::transform::log>;
    using storage = boost::histogram::dense_storage<double>;

    boost::histogram::histogram<std::tuple<axis>, storage> bins_;
    std::uint64_t count_ = 0;
};

// Results of one class in one phase. Latencies count from the planned send
// time.
struct class_result {
    latency_histogram completed;
    latency_histogram refused; // answers with the verdict not_run
    std::map<std::string, std::uint64_t> verdicts;
    std::uint64_t sent = 0;
    std::uint64_t wrong = 0;  // complete answers with another call's content
    std::uint64_t cut = 0;    // answers truncated after their head
    std::uint64_t failed = 0; // status 500 or above from a backend server
};

class load_report {
public:
    explicit load_report(const load_plan& plan);

    class_result& at(std::size_t phase, std::size_t work_class);

    // Records an operation that was reported to its caller as not run.
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
