#ifndef LACEWINGBEAM_ROW_DELTA_HPP
#define LACEWINGBEAM_ROW_DELTA_HPP

#include "table.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace lacewingbeam {

// A row's new version as far as it differs from an earlier one: large rows
// change in a few cells, and links are thin.
struct row_delta {
    std::string key;
    std::uint64_t base_version = 0;
    std::uint64_t version = 0;
    std::vector<cell> cells;          // new or changed
    std::vector<std::string> removed; // names

    bool operator==(const row_delta&) const = default;
};

// Both rows hold their cells in order of name.
row_delta compute_delta(const raw_row& before, const raw_row& after);

// The row that `delta` makes of `before`, whose version must be the delta's
// base version.
raw_row apply_delta(const raw_row& before, const row_delta& delta);

// Bytes of the texts, about what a message with them takes.
std::size_t size_of(const raw_row& row);
std::size_t size_of(const row_delta& delta);

} // namespace lacewingbeam

#endif
