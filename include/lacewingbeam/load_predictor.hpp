#ifndef LACEWINGBEAM_LOAD_PREDICTOR_HPP
#define LACEWINGBEAM_LOAD_PREDICTOR_HPP

#include "core.hpp"
#include "expected_time.hpp"

#include <array>
#include <cstddef>
#include <optional>

// Learns how long a load sample still tells something of its server.
namespace lacewingbeam {

// A sample up to this old is taken as it is: the default timeout of a round of
// probes and some time to decide.
inline constexpr duration max_fresh_sample_age = std::chrono::milliseconds(15);

// The last that a backend server told of its load.
struct load_observation {
    server_load_sample sample;
    duration age{};
    unsigned sent_since = 0; // own requests sent after the sample
};

// For the servers of one service. How slow a server is changes from moment to
// moment: a sample says much of the next milliseconds and less of the next
// second. How much less is learned from samples that follow one another.
class load_predictor {
public:
    // A server told its load; `earlier` is what it had told before.
    void on_sample(const std::optional<load_observation>& earlier,
                   const server_load_sample& later);

    // The load to expect now. `in_flight` own requests run at the server, and
    // requests of this kind take `base_latency_ms`; `slots` counts where
    // nothing was told.
    expected_load predict(const std::optional<load_observation>& observation,
                          unsigned slots, unsigned in_flight,
                          double base_latency_ms) const;

    // The part of a sample's deviation from the usual slowness that is left
    // after so long, between 0 and 1.
    double retained_deviation(duration age) const;

private:
    // Ages up to 25 ms, 50 ms, 100 ms and so on; the last one is open.
    static constexpr std::size_t age_buckets = 8;

    struct deviations {
        double products = 0; // earlier times later, summed
        double squares = 0;  // of the earlier ones, summed
    };

    static std::size_t bucket_of(duration age);

    std::array<deviations, age_buckets> deviations_;
    double mean_slowness_ = 1;
    double mean_running_ = 0;
    double samples_ = 0;
};

} // namespace lacewingbeam

#endif
