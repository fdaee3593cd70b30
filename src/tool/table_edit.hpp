#ifndef LACEWINGBEAM_TOOL_TABLE_EDIT_HPP
#define LACEWINGBEAM_TOOL_TABLE_EDIT_HPP

#include "session.hpp"

#include <span>
#include <string>
#include <variant>
#include <vector>

// Edits of the operators' table: compare-and-set, with an edit id by which a
// lost answer is settled.
namespace lacewingbeam {

// Who edits, for the rows and for the loser of a race.
struct editor {
    std::string name;
    std::string time; // UTC, ISO 8601
};

// The edit is in the table; `version` is the row's.
struct edit_accepted {
    std::uint64_t version = 0;
};

// Somebody else changed a row first; one line for each difference.
struct edit_conflict {
    std::vector<std::string> lines;
};

// The platform could not be asked whether the edit took effect.
struct edit_unknown {
    std::string edit_id;
};

using edit_result = std::variant<edit_accepted, edit_conflict, edit_unknown>;

// A row as it was read and as it should be. A base version of 0 means that
// the row must be new.
struct row_change {
    raw_row base;
    raw_row wanted;
};

// Writes all changes in one transaction. Throws table_error before anything
// is written if a row can't be accepted.
edit_result apply_changes(tool_session& session,
                          std::span<const row_change> changes,
                          const editor& by);

// Sets or adds a cell; an empty value removes it.
void set_cell(raw_row& row, std::string_view name, std::string_view value);

// The present time for an editor's mark.
std::string current_time();

} // namespace lacewingbeam

#endif
