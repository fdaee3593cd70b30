#ifndef LACEWINGBEAM_ADAPTERS_EVENT_LOOP_HPP
#define LACEWINGBEAM_ADAPTERS_EVENT_LOOP_HPP

#include "lacewingbeam/core.hpp"

#include <event2/event.h>
#include <memory>
#include <sigc++/sigc++.h>
#include <vector>

// The single-threaded event loop of a process.
namespace lacewingbeam {

struct event_deleter {
    void operator()(event* value) const { event_free(value); }
};
using event_handle = std::unique_ptr<event, event_deleter>;

// A registered event that calls its slot; destroying the object removes it.
class scoped_event {
public:
    scoped_event() = default;

    void reset();

private:
    friend class event_loop;

    std::unique_ptr<sigc::slot<void()>> slot_;
    event_handle handle_;
};

// Wraps libevent's event base with timers, signals and deferred calls.
class event_loop {
public:
    // Throws error if the event base cannot be created.
    event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    ~event_loop();

    event_base* base() const { return base_; }

    // Returns the current time of the monotonic clock.
    time_point now() const;

    // Calls the slot after the current callback has returned.
    void defer(sigc::slot<void()> slot);

    // Calls the slot at the given interval until the result is destroyed.
    scoped_event every(duration interval, sigc::slot<void()> slot);

    // Creates a timer that calls the slot once started with schedule().
    scoped_event make_timer(sigc::slot<void()> slot);

    // Starts a one-shot timer; replaces its previous schedule.
    static void schedule(scoped_event& timer, duration delay);

    // Calls the slot each time the process receives the signal.
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
