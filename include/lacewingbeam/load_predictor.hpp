#ifndef LACEWINGBEAM_LOAD_PREDICTOR_HPP
#define LACEWINGBEAM_LOAD_PREDICTOR_HPP

#include "core.hpp"
#include "expected_time.hpp"

#include <array>
#include <cstddef>
#include <optional>

// Predicts a backend server's load from its last sample, and learns how fast
// samples become outdated.
namespace lacewingbeam {

// Samples up to this age are used unchanged. Covers the default probe timeout
// and the time to decide.
inline constexpr duration max_fresh_sample_age = std::chrono::milliseconds(15);

// The last load sample of a backend server.
struct load_observation {
    server_load_sample sample;
    duration age{};
    unsigned sent_since = 0; // this instance's requests sent after the sample
};

// Covers the servers of one service. A server's slowness varies over time: a
// sample predicts the next few milliseconds well and the next second poorly.
// The autocorrelation of consecutive samples gives the rate of this decay.
class load_predictor {
public:
    // Records a sample; `earlier` is the server's previous one.
    void on_sample(const std::optional<load_observation>& earlier,
                   const server_load_sample& later);

    // Predicts the current load. `in_flight` counts this instance's requests at
    // the server, `base_latency_ms` is their mean latency, and `slots` is used
    // if there is no sample.
    expected_load predict(const std::optional<load_observation>& observation,
                          unsigned slots, unsigned in_flight,
                          double base_latency_ms) const;

    // The fraction, from 0 to 1, of a sample's deviation from the mean slowness
    // that is expected to remain after `age`.
    double retained_deviation(duration age) const;

private:
    // Upper bounds of 25 ms, 50 ms, 100 ms and so on; the last is unbounded.
    static constexpr std::size_t age_buckets = 8;

    struct deviations {
        double products = 0; // sum of earlier deviation times later one
        double squares = 0;  // sum of squared earlier deviations
    };

    static std::size_t bucket_of(duration age);

    std::array<deviations, age_buckets> deviations_;
    double mean_slowness_ = 1;
    double mean_running_ = 0;
    double samples_ = 0;
};

} // namespace lacewingbeam

#endif
