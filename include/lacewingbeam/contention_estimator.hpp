#ifndef LACEWINGBEAM_CONTENTION_ESTIMATOR_HPP
#define LACEWINGBEAM_CONTENTION_ESTIMATOR_HPP

#include <array>

// Estimates how much the backend servers of a service slow down when nearly
// all of their slots are in use.
namespace lacewingbeam {

// The number of slots up to which a server counts as uncontended. The platform
// documents that servers slow down when they are nearly full.
unsigned uncontended_slots(unsigned slots);

class contention_estimator {
public:
    // Records a request that took `ratio` times its expected latency.
    // `contended` tells whether the server was contended while it ran.
    void on_completed(bool contended, double ratio);

    // Latency at a contended server relative to an uncontended one; at least 1.
    double slowdown_factor() const;

    // The number of busy slots beyond which another request would lower the
    // server's throughput.
    unsigned useful_slots(unsigned slots) const;

private:
    struct mean {
        double log_ratio = 0;
        double weight = 0;
    };

    std::array<mean, 2> means_; // uncontended, contended
};

} // namespace lacewingbeam

#endif
