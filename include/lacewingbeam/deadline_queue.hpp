#ifndef LACEWINGBEAM_DEADLINE_QUEUE_HPP
#define LACEWINGBEAM_DEADLINE_QUEUE_HPP

#include "core.hpp"

#include <map>
#include <set>
#include <utility>
#include <vector>

// Calls that wait for a backend server, earliest deadline first.
namespace lacewingbeam {

class deadline_queue {
public:
    // A limit of zero admits nothing.
    explicit deadline_queue(std::size_t limit);

    void set_limit(std::size_t limit) { limit_ = limit; }

    // False if the queue is full.
    bool push(call_id call, time_point deadline);

    // Puts back a call that was already admitted, beyond the limit if need
    // be.
    void requeue(call_id call, time_point deadline);

    // False if the call is not waiting here.
    bool remove(call_id call);

    // The waiting calls, earliest deadline first.
    std::vector<call_id> calls_by_deadline() const;

    // Removes and returns the calls whose deadline is not after `now`.
    std::vector<call_id> take_expired(time_point now);

    std::size_t size() const { return by_deadline_.size(); }
    bool empty() const { return by_deadline_.empty(); }

private:
    std::size_t limit_;
    std::set<std::pair<time_point, call_id>> by_deadline_;
    std::map<call_id, time_point> deadlines_;
};

} // namespace lacewingbeam

#endif
