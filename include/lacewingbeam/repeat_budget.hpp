#ifndef LACEWINGBEAM_REPEAT_BUDGET_HPP
#define LACEWINGBEAM_REPEAT_BUDGET_HPP

#include "core.hpp"

#include <optional>

// Bounds retries and hedges over all instances without coordination between
// them.
namespace lacewingbeam {

// In each window, all instances together may send `ratio` repeats per request
// plus `slack` repeats.
struct repeat_limits {
    double ratio = 0.2;
    double slack = 0;
    duration window = std::chrono::seconds(10);
};

// One instance's part of the budget. Each request earns a fraction of a repeat,
// and half of the instance's share of the slack is earned evenly over each
// window. What is not used is saved, up to the other half of the share. In
// every window, the processes that run at one address one after the other
// therefore send at most what its requests earn plus one share, although a
// process that starts does not know what the one before it has sent.
class repeat_budget {
public:
    explicit repeat_budget(repeat_limits limits) : limits_(limits) {}

    // Keeps what has been earned, as far as the new limits allow it.
    void set_limits(repeat_limits limits);

    // Sets the number of instances that share the slack. Until it is known,
    // only requests earn repeats.
    void set_instances(std::optional<std::size_t> count, time_point now);

    void on_request(time_point now);

    // Sets one repeat aside if enough has been earned. It must be either sent
    // or released.
    bool try_reserve(time_point now);

    void on_sent();
    void release();

private:
    double share() const;
    double max_saved() const;
    void earn(double repeats);
    void earn_by_time(time_point now);

    repeat_limits limits_;
    std::optional<std::size_t> instances_;
    std::optional<time_point> earned_until_;
    double earned_ = 0;     // including reserved repeats
    unsigned reserved_ = 0; // and not sent yet
};

} // namespace lacewingbeam

#endif
