#ifndef LACEWINGBEAM_STORE_VERSION_HPP
#define LACEWINGBEAM_STORE_VERSION_HPP

#include "core.hpp"

#include <compare>
#include <cstdint>
#include <limits>

// What orders news of the metadata store. The store may be restored from a copy
// that is some seconds old. It then loses the latest changes and assigns their
// revisions again. Each restore begins a new era.
namespace lacewingbeam {

// The version of a row. Within an era, revisions order rows. A row of a later
// era may be an older one from the copy, so it replaces a row of an earlier era
// only if that row's revision is not higher, or is known to be replaced.
struct store_version {
    // The row is known to have been written in its era, or to be trusted
    // otherwise: it replaces all rows of earlier eras.
    static constexpr std::uint64_t all_earlier =
        std::numeric_limits<std::uint64_t>::max();

    store_version() = default;
    // A version of a store without eras. Implicit, since a plain number is one.
    store_version(std::uint64_t number) : revision(number) {}
    store_version(std::uint64_t restored, std::uint64_t number,
                  std::uint64_t replaced_revision = 0)
        : era(restored), revision(number), replaces(replaced_revision) {}

    auto operator<=>(const store_version&) const = default;

    // Returns true if the store assigned this version later.
    bool is_later_than(const store_version& other) const {
        return era > other.era ||
               (era == other.era && revision > other.revision);
    }

    std::uint64_t era = 0;
    std::uint64_t revision = 0;
    // Highest revision of earlier eras that the row replaces.
    std::uint64_t replaces = 0;
};

// A time of the store's own clock, to which all instances can refer. Times of
// different eras cannot be converted into each other.
struct store_time {
    store_time() = default;
    explicit store_time(duration time, std::uint64_t restored = 0)
        : era(restored), since_start(time) {}

    auto operator<=>(const store_time&) const = default;

    std::uint64_t era = 0;
    duration since_start{};
};

inline store_time operator+(store_time time, duration added) {
    return store_time(time.since_start + added, time.era);
}

} // namespace lacewingbeam

#endif
