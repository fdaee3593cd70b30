#include "table_edit.hpp"

#include <algorithm>
#include <ctime>
#include <random>

namespace lacewingbeam {

namespace {

constexpr int max_attempts = 5;
constexpr duration retry_delay = std::chrono::milliseconds(200);

std::string draw_edit_id() {
    std::random_device device;
    random_engine engine((std::uint64_t{device()} << 32U) | device());
    return to_string(draw_incarnation(engine));
}

std::vector<row_write> make_writes(std::span<const row_change> changes,
                                   const editor& by,
                                   const std::string& edit_id) {
    std::vector<row_write> writes;
    std::string keys;
    for (const auto& change : changes) {
        auto row = change.wanted;
        row.version = change.base.version;
        set_cell(row, "edit_id", edit_id);
        set_cell(row, "edited_by", by.name);
        set_cell(row, "edited_at", by.time);
        keys += (keys.empty() ? "" : " ") + row.key;
        writes.push_back({services_table, std::move(row)});
    }
    raw_row edit_record;
    edit_record.key = edit_id;
    edit_record.cells = {{"rows", keys}, {"by", by.name}, {"at", by.time}};
    writes.push_back({edits_table, std::move(edit_record)});
    return writes;
}

std::string display_value(std::string_view value) {
    return value.empty() ? "(empty)" : "\"" + std::string(value) + "\"";
}

// Describes how another edit changed a row after it was read.
void describe_conflict(const raw_row& base, const raw_row& current,
                       std::vector<std::string>& lines) {
    const auto author = " by " + display_value(current.value_of("edited_by")) +
                        " at " + display_value(current.value_of("edited_at"));
    if (current.version == 0) {
        lines.push_back(base.key + ": row no longer exists");
        return;
    }
    if (current.deleted) {
        lines.push_back(base.key + ": removed" + author);
        return;
    }
    const auto lines_before = lines.size();
    for (const auto name : cell_names(is_server_key(base.key))) {
        const auto old_value = base.value_of(name);
        const auto new_value = current.value_of(name);
        if (old_value != new_value) {
            lines.push_back(base.key + ": " + std::string(name) +
                            " changed from " + display_value(old_value) +
                            " to " + display_value(new_value) + author);
        }
    }
    if (lines.size() == lines_before) {
        lines.push_back(base.key + ": rewritten without changes" + author);
    }
}

edit_conflict make_conflict(std::span<const row_change> changes,
                            const write_conflict& conflict) {
    edit_conflict result;
    for (const auto& current : conflict.existing) {
        const auto change = std::find_if(
            changes.begin(), changes.end(), [&](const row_change& item) {
                return item.wanted.key == current.key;
            });
        if (change != changes.end()) {
            describe_conflict(change->base, current, result.lines);
        }
    }
    return result;
}

// Returns true if the record of the edit exists, false if it does not exist
// yet, and nothing if the platform does not answer.
std::optional<bool> find_edit_record(tool_session& session,
                                     const std::string& edit_id) {
    try {
        return session.read_row(edits_table, edit_id).has_value();
    } catch (const unreachable_error&) {
        return std::nullopt;
    }
}

std::uint64_t version_of(tool_session& session, const std::string& key) {
    const auto row = session.read_row(services_table, key);
    return row ? row->version.revision : 0;
}

} // namespace

edit_result apply_changes(tool_session& session,
                          std::span<const row_change> changes,
                          const editor& by) {
    for (const auto& change : changes) {
        validate(change.wanted);
    }
    const auto edit_id = draw_edit_id();
    const auto writes = make_writes(changes, by, edit_id);
    bool may_be_committed = false;
    for (int i = 0; i < max_attempts; ++i) {
        const auto result = session.write(writes);
        if (const auto* committed = std::get_if<write_committed>(&result)) {
            return edit_accepted{
                changes.size() == 1 ? version_of(session, changes[0].wanted.key)
                                    : committed->version};
        }
        // After a lost answer, the conflicting row may have been written by
        // this edit itself.
        const auto recorded =
            may_be_committed || std::holds_alternative<write_unknown>(result)
                ? find_edit_record(session, edit_id)
                : std::optional<bool>(false);
        if (recorded == true) {
            return edit_accepted{version_of(session, changes[0].wanted.key)};
        }
        const auto* conflict = std::get_if<write_conflict>(&result);
        if (conflict != nullptr && recorded) {
            return make_conflict(changes, *conflict);
        }
        may_be_committed = true;
        session.sleep(retry_delay);
    }
    return edit_unknown{edit_id};
}

void set_cell(raw_row& row, std::string_view name, std::string_view value) {
    const auto found =
        std::find_if(row.cells.begin(), row.cells.end(),
                     [&](const cell& item) { return item.name == name; });
    if (value.empty()) {
        if (found != row.cells.end()) {
            row.cells.erase(found);
        }
    } else if (found != row.cells.end()) {
        found->value = value;
    } else {
        row.cells.push_back({std::string(name), std::string(value)});
    }
}

std::string current_time() {
    const auto now = std::time(nullptr);
    std::tm parts{};
    gmtime_r(&now, &parts);
    char text[32];
    std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts);
    return text;
}

} // namespace lacewingbeam
