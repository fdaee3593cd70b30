#ifndef LACEWINGBEAM_FRESHNESS_HPP
#define LACEWINGBEAM_FRESHNESS_HPP

#include "core.hpp"
#include "store_version.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <optional>

// Tracks at which time the rows that an instance holds were last known to be
// the newest in the metadata store.
namespace lacewingbeam {

enum class store_table { routing, servers };
inline constexpr std::size_t store_table_count = 2;

// A response contains every change that the store accepted before the time that
// the response states. Instances tell each other such times, so that the delay
// of a message does not matter. Each estimates the store's clock from its own
// reads: the clock cannot be further ahead than if the response had been made
// when the read was sent. A restore of the store begins a new era, in which
// each instance has to learn the clock again.
class freshness_tracker {
public:
    void on_read_started(store_table table, time_point now);

    // All rows of the response have been applied. It does not confirm the rows
    // held if a peer is known to hold newer ones.
    void on_read_completed(store_table table, store_time answered_at,
                           bool confirms = true);

    // Ends the earlier eras. Their times say nothing about the store any more.
    void on_era(std::uint64_t era);

    // A peer's routes were the newest at `as_of`, and those held here are at
    // least as new if `held` is true.
    void on_peer_routes(bool held, store_time as_of, time_point now);

    // Returns the latest time at which the held routes were known to be the
    // newest, or nullopt before the first confirmation.
    std::optional<store_time> routes_as_of() const;

    // Returns the same as local time. It does not change with the era, since
    // the rows held are not older than those of a restored store.
    std::optional<time_point> routes_confirmed_at() const;

    // Returns the time as of which this instance's own reads have confirmed
    // both tables.
    std::optional<store_time> own_reads_as_of() const;

    // Returns the latest time at which the store is known to have answered
    // this instance or a peer.
    std::optional<store_time> store_answered_at() const {
        return store_answered_at_;
    }

    // Returns the local time that is not later than a time of the store's
    // clock, or nullopt if this instance must read the store to tell, or the
    // time is of an earlier era.
    std::optional<time_point> to_local(std::optional<store_time> time) const;

    // Returns the longest time that can have passed since then.
    std::optional<duration> age(std::optional<store_time> time,
                                time_point now) const;

    // Returns false if the store's clock is not known.
    bool is_clock_known() const { return clock_ahead_.has_value(); }

private:
    struct read {
        time_point started_at;
        std::optional<store_time> confirmed_at;
    };

    read& state_of(store_table table);

    std::array<read, store_table_count> reads_;
    std::optional<store_time> peer_routes_as_of_;
    std::optional<store_time> store_answered_at_;
    // When the routes were last confirmed in an earlier era.
    std::optional<time_point> earlier_confirmed_at_;
    std::uint64_t era_ = 0;
    // Upper bound of the store's clock minus the local clock.
    std::optional<duration> clock_ahead_;
};

} // namespace lacewingbeam

#endif
