#include "command_line.hpp"
#include "commands.hpp"

#include "csv.hpp"
#include "table_edit.hpp"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace lacewingbeam {

namespace {

// Arguments common to all table commands.
class table_arguments : public command_line {
public:
    explicit table_arguments(const std::string& help)
        : command_line(help), platform_("p", "platform", "platform address",
                                        true, "", "IP:port", *this) {}

    const std::string& platform() { return platform_.getValue(); }

private:
    TCLAP::ValueArg<std::string> platform_;
};

std::string user_name() {
    const char* name = std::getenv("USER");
    return name == nullptr ? "operator" : name;
}

struct result_printer {
    int operator()(const edit_accepted& value) const {
        std::cout << "accepted as version " << value.version << "\n";
        return exit_success;
    }

    int operator()(const edit_conflict& value) const {
        std::cerr << "conflict: nothing was changed\n";
        for (const auto& line : value.lines) {
            std::cerr << "  " << line << "\n";
        }
        return exit_conflict;
    }

    int operator()(const edit_unknown& value) const {
        std::cerr << "platform did not answer: the edit may or may not have "
                     "been committed; edit id "
                  << value.edit_id << "\n";
        return exit_unknown;
    }
};

raw_row read_base(tool_session& session, const std::string& key) {
    raw_row base;
    base.key = key;
    const auto found = session.read_row(services_table, key);
    if (found && !found->deleted) {
        base = *found;
    }
    return base;
}

void assign_cells(raw_row& row, const std::vector<std::string>& assignments) {
    for (const auto& text : assignments) {
        const auto equals = text.find('=');
        if (equals == std::string::npos || equals == 0) {
            throw table_error("\"" + text + "\" is not of the form cell=value");
        }
        set_cell(row, text.substr(0, equals), text.substr(equals + 1));
    }
}

std::string read_file(const std::string& path) {
    std::ifstream file(path);
    if (!file) {
        throw csv_error("cannot read " + path);
    }
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

bool same_cells(const raw_row& a, const raw_row& b) {
    for (const auto name : cell_names(is_server_key(a.key))) {
        if (a.value_of(name) != b.value_of(name)) {
            return false;
        }
    }
    return true;
}

// Returns a change for each row of a file that differs from the table. Each
// change expects the version given in the file, so that edits made since the
// export are not overwritten.
std::vector<row_change> find_changes(std::span<const raw_row> current,
                                     std::span<const raw_row> wanted) {
    std::vector<row_change> changes;
    for (const auto& row : wanted) {
        raw_row base;
        base.key = row.key;
        for (const auto& current_row : current) {
            if (current_row.key == row.key) {
                base = current_row;
            }
        }
        if (base.version != 0 && same_cells(base, row)) {
            continue;
        }
        base.version = row.version;
        changes.push_back({base, row});
    }
    return changes;
}

} // namespace

int run_table_show(const std::vector<std::string>& arguments) {
    table_arguments line("Shows the table, or the rows of one service.");
    TCLAP::UnlabeledValueArg<std::string> service(
        "service", "only this service", false, "", "SERVICE", line);
    line.read(arguments);
    tool_session session(line.platform());
    for (const auto& row : session.read_table()) {
        const auto row_service = row.key.substr(0, row.key.find('/'));
        if (!service.getValue().empty() && row_service != service.getValue()) {
            continue;
        }
        std::cout << row.key << "  version=" << row.version.revision;
        for (const auto& item : row.cells) {
            if (item.name != "edit_id") {
                std::cout << "  " << item.name << "=" << item.value;
            }
        }
        std::cout << "\n";
    }
    return exit_success;
}

int run_table_set(const std::vector<std::string>& arguments) {
    table_arguments line("Sets cells of one row; a new key creates a row.");
    TCLAP::ValueArg<std::uint64_t> expected(
        "e", "expect", "expected version of the row; 0: must not exist", false,
        0, "VERSION", line);
    TCLAP::ValueArg<std::string> by("b", "by", "editor name to record", false,
                                    user_name(), "NAME", line);
    TCLAP::UnlabeledValueArg<std::string> key(
        "key", "service or service/backend_server", true, "", "KEY", line);
    TCLAP::UnlabeledMultiArg<std::string> cells(
        "cells", "cells to set; an empty value clears the cell", true,
        "CELL=VALUE", line);
    line.read(arguments);
    tool_session session(line.platform());
    row_change change;
    change.base = read_base(session, key.getValue());
    if (expected.isSet()) {
        change.base.version = expected.getValue();
    }
    change.wanted = change.base;
    assign_cells(change.wanted, cells.getValue());
    const editor author{by.getValue(), current_time()};
    return std::visit(result_printer{},
                      apply_changes(session, {&change, 1}, author));
}

int run_table_remove(const std::vector<std::string>& arguments) {
    table_arguments line("Removes one row.");
    TCLAP::ValueArg<std::string> by("b", "by", "editor name to record", false,
                                    user_name(), "NAME", line);
    TCLAP::UnlabeledValueArg<std::string> key(
        "key", "service or service/backend_server", true, "", "KEY", line);
    line.read(arguments);
    tool_session session(line.platform());
    row_change change;
    change.base = read_base(session, key.getValue());
    if (change.base.version == 0) {
        throw table_error("row not found: " + key.getValue());
    }
    change.wanted.key = key.getValue();
    change.wanted.deleted = true;
    const editor author{by.getValue(), current_time()};
    return std::visit(result_printer{},
                      apply_changes(session, {&change, 1}, author));
}

int run_table_export(const std::vector<std::string>& arguments) {
    table_arguments line("Writes the table as CSV to standard output.");
    line.read(arguments);
    tool_session session(line.platform());
    std::cout << write_csv(session.read_table());
    return exit_success;
}

int run_table_import(const std::vector<std::string>& arguments) {
    table_arguments line(
        "Imports the rows of a CSV file that differ from the table, all or "
        "none. Rows that are not in the file are kept.");
    TCLAP::ValueArg<std::string> by("b", "by", "editor name to record", false,
                                    user_name(), "NAME", line);
    TCLAP::SwitchArg dry_run("n", "dry-run", "only show what would change",
                             line);
    TCLAP::UnlabeledValueArg<std::string> path("file", "CSV file", true, "",
                                               "FILE", line);
    line.read(arguments);
    const auto wanted = read_csv(read_file(path.getValue()));
    tool_session session(line.platform());
    const auto current = session.read_table();
    const auto changes = find_changes(current, wanted);
    for (const auto& change : changes) {
        std::cout << (change.base.version == 0 ? "new " : "change ")
                  << change.wanted.key << "\n";
    }
    if (changes.empty() || dry_run.getValue()) {
        return exit_success;
    }
    const editor author{by.getValue(), current_time()};
    return std::visit(result_printer{},
                      apply_changes(session, changes, author));
}

} // namespace lacewingbeam
