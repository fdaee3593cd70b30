#ifndef LACEWINGBEAM_ROW_HISTORY_HPP
#define LACEWINGBEAM_ROW_HISTORY_HPP

#include "row_delta.hpp"
#include "table.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

// Remembers which cells of a row changed lately, so that peers with a slightly
// older version can be sent just these.
namespace lacewingbeam {

class row_history {
public:
    // Records an edit. One that does not follow the last recorded version
    // discards the earlier ones.
    void on_changed(const raw_row& before, const raw_row& after);

    // Returns the changes from `version` to `current`, or nullopt if that
    // version is not remembered. `current` is the result of the last edit.
    std::optional<row_delta> changes_since(std::uint64_t version,
                                           const raw_row& current) const;

    // Returns the changes from the oldest version for which they take at most
    // max_bytes, or nullopt if there is none.
    std::optional<row_delta> changes_within(std::size_t max_bytes,
                                            const raw_row& current) const;

private:
    static constexpr std::size_t max_edits = 32;

    struct edit {
        std::uint64_t from = 0;
        std::uint64_t to = 0;
        std::vector<std::string> cells; // changed, added or removed
    };

    row_delta merge(std::size_t first, const raw_row& current) const;

    std::deque<edit> edits_;
};

} // namespace lacewingbeam

#endif
