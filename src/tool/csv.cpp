#include "csv.hpp"
#include "lacewingbeam/number.hpp"

#include <algorithm>
#include <boost/tokenizer.hpp>
#include <set>
#include <sstream>

namespace lacewingbeam {

namespace {

using line_parser = boost::escaped_list_separator<char>;
using line_fields = boost::tokenizer<line_parser>;

// Returns all columns: key and version, service cells, backend server cells,
// and author and time of the last edit.
std::vector<std::string> column_names() {
    std::vector<std::string> names{"key", "version"};
    for (const bool server : {false, true}) {
        for (const auto name : cell_names(server)) {
            names.emplace_back(name);
        }
    }
    names.emplace_back("edited_by");
    names.emplace_back("edited_at");
    return names;
}

std::string quote(std::string_view value) {
    if (value.find_first_of(",\"\\\n") == std::string_view::npos) {
        return std::string(value);
    }
    std::string quoted = "\"";
    for (const char c : value) {
        if (c == '\n') {
            quoted += "\\n";
            continue;
        }
        if (c == '"' || c == '\\') {
            quoted += '\\';
        }
        quoted += c;
    }
    return quoted + "\"";
}

[[noreturn]] void reject(std::size_t line, const std::string& problem) {
    throw csv_error("line " + std::to_string(line) + ": " + problem);
}

std::vector<std::string> split_line(const std::string& text, std::size_t line) {
    const auto quotes = std::count(text.begin(), text.end(), '"');
    try {
        const line_fields fields(text, line_parser());
        return {fields.begin(), fields.end()};
    } catch (const boost::escaped_list_error& problem) {
        reject(line, quotes % 2 == 0 ? problem.what() : "unterminated quote");
    }
}

std::vector<std::string> read_columns(const std::string& text) {
    const auto known = column_names();
    auto columns = split_line(text, 1);
    std::set<std::string> seen;
    for (const auto& name : columns) {
        if (std::find(known.begin(), known.end(), name) == known.end()) {
            reject(1, "unknown column \"" + name + "\"");
        }
        if (!seen.insert(name).second) {
            reject(1, "duplicate column \"" + name + "\"");
        }
    }
    if (!seen.contains("key")) {
        reject(1, "missing column \"key\"");
    }
    return columns;
}

std::uint64_t read_version(const std::string& text, std::size_t line) {
    if (text.empty()) {
        return 0;
    }
    const auto version = to_number<std::uint64_t>(text);
    if (!version) {
        reject(line, "version \"" + text + "\" is not an unsigned integer");
    }
    return *version;
}

raw_row read_row(const std::vector<std::string>& columns,
                 const std::vector<std::string>& values, std::size_t line) {
    if (values.size() != columns.size()) {
        reject(line, std::to_string(values.size()) + " values for " +
                         std::to_string(columns.size()) + " columns");
    }
    raw_row row;
    for (std::size_t i = 0; i < columns.size(); ++i) {
        if (columns[i] == "key") {
            row.key = values[i];
        } else if (columns[i] == "version") {
            row.version = read_version(values[i], line);
        } else if (!values[i].empty()) {
            row.cells.push_back({columns[i], values[i]});
        }
    }
    return row;
}

} // namespace

std::string write_csv(std::span<const raw_row> rows) {
    const auto columns = column_names();
    std::ostringstream out;
    for (std::size_t i = 0; i < columns.size(); ++i) {
        out << (i == 0 ? "" : ",") << columns[i];
    }
    out << "\n";
    for (const auto& row : rows) {
        out << quote(row.key) << "," << row.version.revision;
        for (std::size_t i = 2; i < columns.size(); ++i) {
            out << "," << quote(row.value_of(columns[i]));
        }
        out << "\n";
    }
    return out.str();
}

std::vector<raw_row> read_csv(std::string_view text) {
    std::istringstream input{std::string(text)};
    std::string line_text;
    if (!std::getline(input, line_text)) {
        reject(1, "the file is empty");
    }
    const auto columns = read_columns(line_text);
    std::vector<raw_row> rows;
    std::set<std::string> keys;
    for (std::size_t line = 2; std::getline(input, line_text); ++line) {
        if (line_text.empty()) {
            continue;
        }
        auto row = read_row(columns, split_line(line_text, line), line);
        if (!keys.insert(row.key).second) {
            reject(line, "duplicate row \"" + row.key + "\"");
        }
        try {
            validate(row);
        } catch (const table_error& problem) {
            reject(line, problem.what());
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

} // namespace lacewingbeam
