#ifndef LACEWINGBEAM_ROW_DELTA_HPP
#define LACEWINGBEAM_ROW_DELTA_HPP

#include "table.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace lacewingbeam {

// The difference between two versions of a row. An edit changes few cells of a
// large row, so sending only these saves bandwidth on slow links. Versions are
// numbers that the row's writer assigned, regardless of eras of the store.
struct row_delta {
    std::string key;
    std::uint64_t base_version = 0;
    std::uint64_t version = 0;
    std::vector<cell> cells;          // new or changed
    std::vector<std::string> removed; // names
    // Further versions to which the delta may be applied.
    std::vector<std::uint64_t> later_bases = {};

    bool applies_to(std::uint64_t held) const;
    bool operator==(const row_delta&) const = default;
};

// Computes the delta between two rows, both with cells sorted by name.
row_delta compute_delta(const raw_row& before, const raw_row& after);

// Applies `delta` to `before`; the delta must apply to its version.
raw_row apply_delta(const raw_row& before, const row_delta& delta);

// Return the total length of all strings in bytes, which approximates the size
// of the encoded message.
std::size_t size_of(const raw_row& row);
std::size_t size_of(const row_delta& delta);

} // namespace lacewingbeam

#endif
