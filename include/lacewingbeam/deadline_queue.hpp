#ifndef LACEWINGBEAM_DEADLINE_QUEUE_HPP
#define LACEWINGBEAM_DEADLINE_QUEUE_HPP

#include "core.hpp"

#include <map>
#include <set>
#include <utility>
#include <vector>

// A bounded queue of calls that wait for a backend server, ordered by
// deadline.
namespace lacewingbeam {

class deadline_queue {
public:
    // With a limit of zero every push fails.
    explicit deadline_queue(std::size_t limit);

    void set_limit(std::size_t limit) { limit_ = limit; }

    // Returns false if the queue is full.
    bool push(call_id call, time_point deadline);

    // Adds a call that was admitted before, even if the queue is full.
    void requeue(call_id call, time_point deadline);

    // Returns false if the call is not in the queue.
    bool remove(call_id call);

    // Returns the queued calls, earliest deadline first.
    std::vector<call_id> calls_by_deadline() const;

    // Removes and returns the calls whose deadline is at or before `now`.
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
