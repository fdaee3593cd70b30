#ifndef LACEWINGBEAM_BUDGET_HPP
#define LACEWINGBEAM_BUDGET_HPP

#include "core.hpp"

// Budgets for probes, retries and writes to the platform.
namespace lacewingbeam {

// Allows `rate` operations per second on average and `burst` at once. Starts
// empty, so that frequent restarts do not exceed the rate.
class token_bucket {
public:
    token_bucket(double rate, double burst, time_point now);

    // Takes one token if available.
    bool try_take(time_point now);

    // True if try_take would succeed.
    bool has_token(time_point now);

    // Adds tokens up to the burst size.
    void add(double tokens);

    // Changes the rate and keeps the accumulated tokens.
    void set_rate(double rate, time_point now);

private:
    void refill(time_point now);

    double rate_;
    double burst_;
    double tokens_ = 0;
    time_point refilled_;
};

// The probe budget holds in every window of this length.
inline constexpr duration probe_budget_window = std::chrono::seconds(60);

// Probes per second that one instance may send to one backend server, with a
// burst of one. Even if the probes of `max_instances` instances coincide, they
// use at most `share` of one slot's time in every probe_budget_window.
double probe_rate(duration probe_cost, double share, unsigned max_instances);

// Allows extra attempts in proportion to calls: each call adds `percent` / 100
// of an attempt, and up to `reserve` attempts accumulate.
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
