#include "event_loop.hpp"

#include <algorithm>
#include <ctime>

namespace lacewingbeam {

namespace {

// Sockets' interests that change several times in one round are told to the
// kernel once; no descriptor is duplicated, as this flag asks.
event_base* make_base() {
    auto* config = event_config_new();
    event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
    auto* base = event_base_new_with_config(config);
    event_config_free(config);
    return base;
}

} // namespace

void scoped_event::reset() {
    handle_.reset();
    slot_.reset();
}

event_loop::event_loop() : base_(make_base()) {
    if (base_ == nullptr) {
        throw error("cannot create the event loop");
    }
    wakeup_event_.reset(event_new(base_, -1, 0, run_deferred, this));
}

event_loop::~event_loop() {
    wakeup_event_.reset();
    event_base_free(base_);
}

time_point event_loop::now() const {
    timespec value{};
    clock_gettime(CLOCK_MONOTONIC, &value);
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::seconds(value.tv_sec) +
        std::chrono::nanoseconds(value.tv_nsec)));
}

void event_loop::defer(sigc::slot<void()> slot) {
    deferred_.push_back(std::move(slot));
    event_active(wakeup_event_.get(), EV_TIMEOUT, 1);
}

void event_loop::run_deferred(evutil_socket_t, short, void* argument) {
    auto* self = static_cast<event_loop*>(argument);
    std::vector<sigc::slot<void()>> due;
    due.swap(self->deferred_);
    for (auto& slot : due) {
        slot();
    }
}

void event_loop::run_slot(evutil_socket_t, short, void* argument) {
    (*static_cast<sigc::slot<void()>*>(argument))();
}

scoped_event event_loop::make_event(int fd, short what,
                                    sigc::slot<void()> slot) {
    scoped_event result;
    result.slot_ = std::make_unique<sigc::slot<void()>>(std::move(slot));
    result.handle_.reset(
        event_new(base_, fd, what, run_slot, result.slot_.get()));
    return result;
}

scoped_event event_loop::every(duration interval, sigc::slot<void()> slot) {
    auto result = make_event(-1, EV_PERSIST, std::move(slot));
    const auto time = to_timeval(interval);
    event_add(result.handle_.get(), &time);
    return result;
}

scoped_event event_loop::make_timer(sigc::slot<void()> slot) {
    return make_event(-1, 0, std::move(slot));
}

void event_loop::schedule(scoped_event& timer, duration delay) {
    const auto time = to_timeval(std::max(delay, duration::zero()));
    event_add(timer.handle_.get(), &time);
}

scoped_event event_loop::on_signal(int number, sigc::slot<void()> slot) {
    auto result = make_event(number, EV_SIGNAL | EV_PERSIST, std::move(slot));
    event_add(result.handle_.get(), nullptr);
    return result;
}

void event_loop::run() {
    event_base_dispatch(base_);
}

void event_loop::stop() {
    event_base_loopbreak(base_);
}

timeval to_timeval(duration value) {
    constexpr auto per_second = duration::period::den;
    timeval time{};
    time.tv_sec = value.count() / per_second;
    time.tv_usec = value.count() % per_second;
    return time;
}

} // namespace lacewingbeam
