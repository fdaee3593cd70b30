#ifndef LACEWINGBEAM_BUDGET_HPP
#define LACEWINGBEAM_BUDGET_HPP

#include "core.hpp"

// Budgets that bound probes, retries and writes to the platform.
namespace lacewingbeam {

// Allows `rate` takes a second on average and `burst` at once. It starts
// empty, so that an instance that restarts often gains nothing by it.
class token_bucket {
public:
    token_bucket(double rate, double burst, time_point now);

    // Takes one token if there is one.
    bool try_take(time_point now);

    // True if try_take would succeed.
    bool has_token(time_point now);

    // Adds tokens, up to the burst.
    void add(double tokens);

    // Changes the rate; tokens already gathered are kept.
    void set_rate(double rate, time_point now);

private:
    void refill(time_point now);

    double rate_;
    double burst_;
    double tokens_ = 0;
    time_point refilled_;
};

// The time over which a probe budget is kept: in no window of this length do
// probes take more than their share.
inline constexpr duration probe_budget_window = std::chrono::seconds(60);

// Probes one instance may send to one backend server each second with a
// burst of one, such that `max_instances` of them together stay within
// `share` of one slot's time in every probe_budget_window, however they
// coincide.
double probe_rate(duration probe_cost, double share, unsigned max_instances);

// Allows extra attempts in proportion to calls: every call earns `percent`
// of an attempt, up to `reserve` attempts at once.
class attempt_budget {
public:
    attempt_budget(double percent, double reserve);

    void on_call();
    bool try_take();

private:
    double earned_per_call_;
    double reserve_;
    double balance_;
};

} // namespace lacewingbeam

#endif
