#ifndef LACEWINGBEAM_FRESHNESS_HPP
#define LACEWINGBEAM_FRESHNESS_HPP

#include "core.hpp"

#include <array>
#include <cstddef>
#include <optional>

// Tracks at which time the rows that an instance holds were last known to be
// the newest in the metadata store.
namespace lacewingbeam {

enum class store_table { routing, servers };
inline constexpr std::size_t store_table_count = 2;

// A response contains every change that the store accepted before the read was
// sent, but not necessarily those accepted before it was processed. The rows
// of a completed read are therefore confirmed as of the start of the read.
class freshness_tracker {
public:
    // A long poll is answered only when rows change or its wait has passed.
    void on_read_started(store_table table, bool long_poll, time_point now);

    // The first bytes of the response have been received.
    void on_response_started(store_table table);

    // All rows of the response have been applied. While a long poll of the
    // routes is unanswered, each read of the servers that started after it
    // confirms the routes as well.
    void on_read_completed(store_table table);

    void on_read_failed(store_table table);

    // A peer's routes were the newest at `as_of`, and those held here are at
    // least as new if `held` is true.
    void on_peer_routes(bool held, time_point as_of);

    // Returns the latest time at which the held routes were known to be the
    // newest, or nullopt before the first confirmation.
    std::optional<time_point> routes_as_of() const;

    // Returns the time as of which this instance's own reads have confirmed
    // both tables.
    std::optional<time_point> own_reads_as_of() const;

    // Returns the latest time at which the store is known to have answered
    // this instance or a peer.
    std::optional<time_point> store_answered_at() const {
        return store_answered_at_;
    }

private:
    struct read {
        bool in_flight = false;
        bool long_poll = false;
        bool response_started = false;
        time_point started_at;
        std::optional<time_point> confirmed_at;
    };

    read& state_of(store_table table);
    void confirm(read& state, time_point as_of);

    std::array<read, store_table_count> reads_;
    std::optional<time_point> peer_routes_as_of_;
    std::optional<time_point> store_answered_at_;
};

} // namespace lacewingbeam

#endif
