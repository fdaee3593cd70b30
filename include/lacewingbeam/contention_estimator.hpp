#ifndef LACEWINGBEAM_CONTENTION_ESTIMATOR_HPP
#define LACEWINGBEAM_CONTENTION_ESTIMATOR_HPP

#include <array>

// Learns how much the servers of a service slow down when nearly all of
// their slots are in use.
namespace lacewingbeam {

// Slots of which more in use count as contended: nearly full, by the
// platform's word.
unsigned uncontended_slots(unsigned slots);

class contention_estimator {
public:
    // A request took `ratio` times its expected time at a server that was
    // contended with it, or not.
    void on_completed(bool contended, double ratio);

    // Times that work takes longer at a contended server; at least 1.
    double slowdown_factor() const;

    // Slots of a server that may be in use before more of them yield less
    // work in all.
    unsigned useful_slots(unsigned slots) const;

private:
    struct mean {
        double log_ratio = 0;
        double weight = 0;
    };

    std::array<mean, 2> means_; // not contended, contended
};

} // namespace lacewingbeam

#endif
