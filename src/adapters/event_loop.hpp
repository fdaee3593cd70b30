#ifndef LACEWINGBEAM_ADAPTERS_EVENT_LOOP_HPP
#define LACEWINGBEAM_ADAPTERS_EVENT_LOOP_HPP

#include "lacewingbeam/core.hpp"

#include <event2/event.h>
#include <memory>
#include <sigc++/sigc++.h>
#include <vector>

// The one loop of a process, on one thread.
namespace lacewingbeam {

struct event_deleter {
    void operator()(event* value) const { event_free(value); }
};
using event_handle = std::unique_ptr<event, event_deleter>;

// An event that runs a slot for as long as the object lives.
class scoped_event {
public:
    scoped_event() = default;

    void reset();

private:
    friend class event_loop;

    std::unique_ptr<sigc::slot<void()>> slot_;
    event_handle handle_;
};

// Wraps libevent's loop with timers, signals and deferred calls.
class event_loop {
public:
    // Throws error if the loop cannot be created.
    event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    ~event_loop();

    event_base* base() const { return base_; }

    // The monotonic clock.
    time_point now() const;

    // Runs the slot after the current callback has returned.
    void defer(sigc::slot<void()> slot);

    // Runs the slot again and again until the result is destroyed.
    scoped_event every(duration interval, sigc::slot<void()> slot);

    // Runs the slot when scheduled with schedule().
    scoped_event make_timer(sigc::slot<void()> slot);

    // Lets a timer run once after the delay; replaces an earlier schedule.
    static void schedule(scoped_event& timer, duration delay);

    // Runs the slot at each arrival of the signal.
    scoped_event on_signal(int number, sigc::slot<void()> slot);

    void run();
    void stop();

private:
    static void run_slot(evutil_socket_t, short, void* argument);
    static void run_deferred(evutil_socket_t, short, void* argument);
    scoped_event make_event(int fd, short what, sigc::slot<void()> slot);

    event_base* base_;
    event_handle wakeup_event_;
    std::vector<sigc::slot<void()>> deferred_;
};

timeval to_timeval(duration value);

} // namespace lacewingbeam

#endif
