#include "lacewingbeam/budget.hpp"

#include <algorithm>

namespace lacewingbeam {

token_bucket::token_bucket(double rate, double burst, time_point now)
    : rate_(rate), burst_(burst), refilled_(now) {}

void token_bucket::refill(time_point now) {
    if (now <= refilled_) {
        return;
    }
    const std::chrono::duration<double> elapsed = now - refilled_;
    tokens_ = std::min(burst_, tokens_ + rate_ * elapsed.count());
    refilled_ = now;
}

bool token_bucket::has_token(time_point now) {
    refill(now);
    return tokens_ >= 1;
}

bool token_bucket::try_take(time_point now) {
    if (!has_token(now)) {
        return false;
    }
    tokens_ -= 1;
    return true;
}

void token_bucket::add(double tokens) {
    tokens_ = std::min(burst_, tokens_ + tokens);
}

void token_bucket::set_rate(double rate, time_point now) {
    refill(now);
    rate_ = rate;
}

double probe_rate(duration probe_cost, double share, unsigned max_instances) {
    if (max_instances == 0 || probe_cost <= duration::zero()) {
        return 0;
    }
    const std::chrono::duration<double> cost = probe_cost;
    const std::chrono::duration<double> window = probe_budget_window;
    // A token bucket admits rate * window plus its burst of one.
    const double burst = 1 / window.count();
    return std::max(0.0, share / cost.count() / max_instances - burst);
}

attempt_budget::attempt_budget(double percent, double reserve)
    : earned_per_call_(percent / 100), reserve_(reserve),
      balance_(percent > 0 ? reserve : 0) {}

void attempt_budget::on_call() {
    balance_ = std::min(reserve_, balance_ + earned_per_call_);
}

bool attempt_budget::try_take() {
    if (balance_ < 1) {
        return false;
    }
    balance_ -= 1;
    return true;
}

} // namespace lacewingbeam
