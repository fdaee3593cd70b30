#ifndef LACEWINGBEAM_TOOL_TABLE_EDIT_HPP
#define LACEWINGBEAM_TOOL_TABLE_EDIT_HPP

#include "session.hpp"

#include <span>
#include <string>
#include <variant>
#include <vector>

// Compare-and-set edits of the services table. Each edit also writes a record
// under its edit id, which shows after a lost answer whether it was committed.
namespace lacewingbeam {

// Author and time of an edit, stored in the rows and shown to the author of a
// conflicting edit.
struct editor {
    std::string name;
    std::string time; // UTC, ISO 8601
};

// The edit was committed; `version` is the row's version.
struct edit_accepted {
    std::uint64_t version = 0;
};

// Another edit changed a row first; one line per difference.
struct edit_conflict {
    std::vector<std::string> lines;
};

// The platform did not answer, so the edit may or may not have been committed.
struct edit_unknown {
    std::string edit_id;
};

using edit_result = std::variant<edit_accepted, edit_conflict, edit_unknown>;

// A row before and after the change. The edit conflicts if the row's version is
// no longer base.version; a base version of 0 means that the row must not exist
// yet.
struct row_change {
    raw_row base;
    raw_row wanted;
};

// Writes all changes in one transaction. Throws table_error before anything
// is written if a row is invalid.
edit_result apply_changes(tool_session& session,
                          std::span<const row_change> changes,
                          const editor& by);

// Sets or adds a cell; an empty value removes the cell.
void set_cell(raw_row& row, std::string_view name, std::string_view value);

// Returns the current time in the format of editor::time.
std::string current_time();

} // namespace lacewingbeam

#endif
