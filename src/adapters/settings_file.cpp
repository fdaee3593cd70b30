#include "settings_file.hpp"

#include "lacewingbeam/endpoint.hpp"
#include "lacewingbeam/number.hpp"
#include "settings_schema.hpp"

#include <algorithm>
#include <boost/algorithm/string.hpp>
#include <fstream>
#include <ini.h>
#include <iomanip>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace lacewingbeam {

namespace {

using apache::thrift::protocol::T_DOUBLE;
using apache::thrift::protocol::T_I32;
using apache::thrift::protocol::T_STRING;
using apache::thrift::protocol::T_STRUCT;
using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

const std::string entry_schema = "entry_settings";
const std::string router_schema = "router_settings";

// Definition of a setting, read from the schema.
struct setting_rule {
    std::int16_t field = 0;
    std::string name;
    bool is_integer = false;
    bool is_double = false;
    std::string default_value;
    std::string unit;
    std::string kind;
    std::string help;
    bool mandatory = false;
    double min_value = 0;
    double max_value = 0;
    std::vector<std::string> allowed;
};

struct section_rule {
    std::int16_t field = 0;
    std::string name;
    std::vector<setting_rule> settings;
};

// A setting read from the file.
struct setting_entry {
    std::string section;
    std::string name;
    std::string value;
    int line = 0;
};

std::string annotation(const nlohmann::json& field, const char* name) {
    const auto annotations = field.find("annotations");
    if (annotations == field.end()) {
        return {};
    }
    return annotations->value(name, std::string());
}

std::int32_t to_integer(const std::string& text) {
    return text.empty() ? 0 : std::stoi(text);
}

double to_double(const std::string& text) {
    return text.empty() ? 0 : std::stod(text);
}

setting_rule read_rule(const nlohmann::json& field) {
    setting_rule rule;
    rule.field = field.at("key");
    rule.name = field.at("name");
    rule.is_integer = field.at("typeId") == "i32";
    rule.is_double = field.at("typeId") == "double";
    const auto& default_value = field.at("default");
    rule.default_value = default_value.is_string()
                             ? default_value.get<std::string>()
                             : default_value.dump();
    rule.unit = annotation(field, "unit");
    rule.kind = annotation(field, "kind");
    rule.help = annotation(field, "help");
    rule.mandatory = annotation(field, "mandatory") == "yes";
    rule.min_value = to_double(annotation(field, "min"));
    rule.max_value = to_double(annotation(field, "max"));
    const auto allowed = annotation(field, "one_of");
    if (!allowed.empty()) {
        boost::algorithm::split(rule.allowed, allowed,
                                [](char c) { return c == ' '; });
    }
    return rule;
}

// Returns the sections of a settings struct in the schema.
std::vector<section_rule> read_schema(const std::string& name) {
    const auto schema = nlohmann::json::parse(detail::settings_schema);
    std::vector<section_rule> sections;
    const auto& structs = schema.at("structs");
    const auto find_struct =
        [&](const std::string& struct_name) -> const nlohmann::json& {
        return *std::find_if(
            structs.begin(), structs.end(),
            [&](const auto& item) { return item.at("name") == struct_name; });
    };
    for (const auto& member : find_struct(name).at("fields")) {
        section_rule section;
        section.field = member.at("key");
        section.name = member.at("name");
        const std::string type = member.at("type").at("class");
        for (const auto& field : find_struct(type).at("fields")) {
            section.settings.push_back(read_rule(field));
        }
        sections.push_back(std::move(section));
    }
    return sections;
}

// Collects errors so that all of them are reported at once.
class problem_list {
public:
    explicit problem_list(std::string file) : file_(std::move(file)) {}

    void add(int line, const std::string& text) {
        text_ += file_;
        if (line > 0) {
            text_ += ":" + std::to_string(line);
        }
        text_ += ": " + text + "\n";
    }

    void throw_if_any() const {
        if (!text_.empty()) {
            throw settings_error(text_.substr(0, text_.size() - 1));
        }
    }

private:
    std::string file_;
    std::string text_;
};

struct ini_reader {
    std::istringstream input;
    int line = 0;
    int too_long_line = 0; // first line longer than inih's buffer; 0: none
    std::vector<setting_entry> entries;
};

char* read_line(char* out, int size, void* stream) {
    auto* reader = static_cast<ini_reader*>(stream);
    std::string line;
    if (!std::getline(reader->input, line)) {
        return nullptr;
    }
    ++reader->line;
    const auto capacity = static_cast<std::size_t>(size) - 1;
    const auto length = std::min(line.size(), capacity);
    if (line.size() > capacity && reader->too_long_line == 0) {
        reader->too_long_line = reader->line;
    }
    std::copy_n(line.begin(), length, out);
    out[length] = '\0';
    return out;
}

int add_setting(void* user, const char* section, const char* name,
                const char* value) {
    auto* reader = static_cast<ini_reader*>(user);
    reader->entries.push_back({section, name, value, reader->line});
    return 1;
}

// ini_parse_stream takes one user pointer for the line reader and one for the
// value handler; both are the ini_reader.
std::vector<setting_entry> read_ini(std::string_view text,
                                    problem_list& problems) {
    ini_reader reader;
    reader.input.str(std::string(text));
    const int bad_line =
        ini_parse_stream(read_line, &reader, add_setting, &reader);
    if (bad_line > 0) {
        problems.add(bad_line, "expected [section] or key = value");
    }
    if (reader.too_long_line > 0) {
        problems.add(reader.too_long_line, "line is too long");
    }
    return std::move(reader.entries);
}

std::string join(const std::vector<std::string>& items) {
    return boost::algorithm::join(items, ", ");
}

// Formats a number without trailing zeros.
std::string number_text(double value) {
    std::ostringstream out;
    out << std::setprecision(std::numeric_limits<double>::digits10) << value;
    return out.str();
}

std::string range_text(const setting_rule& rule) {
    return std::string(rule.is_double ? "a number" : "an integer") + " from " +
           number_text(rule.min_value) + " to " + number_text(rule.max_value) +
           " (unit: " + rule.unit + ", without a suffix)";
}

template <class Number>
std::string check_number(const setting_rule& rule, const std::string& value) {
    const auto number = to_number<Number>(value);
    const auto converted = static_cast<double>(number.value_or(Number{}));
    if (!number ||
        !(converted >= rule.min_value && converted <= rule.max_value)) {
        return "must be " + range_text(rule);
    }
    return {};
}

bool is_endpoint_list(const std::string& value) {
    std::vector<std::string> parts;
    boost::algorithm::split(parts, value, [](char c) { return c == ','; });
    return std::all_of(parts.begin(), parts.end(), [](std::string part) {
        boost::algorithm::trim(part);
        return parse_endpoint(part).has_value();
    });
}

std::string check_text(const setting_rule& rule, const std::string& value) {
    if (value.empty()) {
        return rule.mandatory ? "must not be empty" : "";
    }
    if (!rule.allowed.empty() &&
        std::find(rule.allowed.begin(), rule.allowed.end(), value) ==
            rule.allowed.end()) {
        return "must be one of " + join(rule.allowed);
    }
    if (rule.kind == "ip" && !is_ip_address(value)) {
        return "must be an IP address";
    }
    if (rule.kind == "endpoint" && !parse_endpoint(value)) {
        return "must be an IP address and a port, IP:port";
    }
    if (rule.kind == "endpoints" && !is_endpoint_list(value)) {
        return "must be a comma-separated list of IP:port";
    }
    return {};
}

std::string check_value(const setting_rule& rule, const std::string& value) {
    if (rule.is_integer) {
        return check_number<std::int32_t>(rule, value);
    }
    return rule.is_double ? check_number<double>(rule, value)
                          : check_text(rule, value);
}

const section_rule* find_section(const std::vector<section_rule>& schema,
                                 const std::string& name) {
    for (const auto& section : schema) {
        if (section.name == name) {
            return &section;
        }
    }
    return nullptr;
}

const setting_rule* find_rule(const section_rule& section,
                              const std::string& name) {
    for (const auto& rule : section.settings) {
        if (rule.name == name) {
            return &rule;
        }
    }
    return nullptr;
}

void check_setting(const std::vector<section_rule>& schema,
                   const setting_entry& item, problem_list& problems) {
    const auto* section = find_section(schema, item.section);
    if (section == nullptr) {
        std::vector<std::string> names;
        names.reserve(schema.size());
        for (const auto& known : schema) {
            names.push_back(known.name);
        }
        problems.add(item.line, "unknown section [" + item.section +
                                    "]; known sections: " + join(names));
        return;
    }
    const auto* rule = find_rule(*section, item.name);
    if (rule == nullptr) {
        std::vector<std::string> names;
        names.reserve(section->settings.size());
        for (const auto& known : section->settings) {
            names.push_back(known.name);
        }
        problems.add(item.line, "unknown key " + item.name + " in [" +
                                    item.section +
                                    "]; known keys: " + join(names));
        return;
    }
    const auto problem = check_value(*rule, item.value);
    if (!problem.empty()) {
        problems.add(item.line, "[" + item.section + "] " + item.name +
                                    " = \"" + item.value + "\": " + problem);
    }
}

const setting_entry* find_value(const std::vector<setting_entry>& entries,
                                const std::string& section,
                                const std::string& name) {
    for (const auto& item : entries) {
        if (item.section == section && item.name == name) {
            return &item;
        }
    }
    return nullptr;
}

void check_mandatory(const std::vector<section_rule>& schema,
                     const std::vector<setting_entry>& entries,
                     problem_list& problems) {
    for (const auto& section : schema) {
        for (const auto& rule : section.settings) {
            if (rule.mandatory &&
                find_value(entries, section.name, rule.name) == nullptr) {
                problems.add(0, "[" + section.name + "] " + rule.name +
                                    " is missing: " + rule.help);
            }
        }
    }
}

void check_duplicates(const std::vector<setting_entry>& entries,
                      problem_list& problems) {
    std::set<std::pair<std::string, std::string>> seen;
    for (const auto& item : entries) {
        if (!seen.emplace(item.section, item.name).second) {
            problems.add(item.line, "[" + item.section + "] " + item.name +
                                        " is set more than once");
        }
    }
}

// Serializes the values with Thrift and reads them into the generated struct,
// so that the names of the settings are listed only in the schema.
template <class Settings>
Settings bind(const std::vector<section_rule>& schema,
              const std::vector<setting_entry>& entries) {
    const auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocol protocol(buffer);
    protocol.writeStructBegin("");
    for (const auto& section : schema) {
        protocol.writeFieldBegin("", T_STRUCT, section.field);
        protocol.writeStructBegin("");
        for (const auto& rule : section.settings) {
            const auto* item = find_value(entries, section.name, rule.name);
            const auto& value =
                item == nullptr ? rule.default_value : item->value;
            if (rule.is_integer) {
                protocol.writeFieldBegin("", T_I32, rule.field);
                protocol.writeI32(to_integer(value));
            } else if (rule.is_double) {
                protocol.writeFieldBegin("", T_DOUBLE, rule.field);
                protocol.writeDouble(to_double(value));
            } else {
                protocol.writeFieldBegin("", T_STRING, rule.field);
                protocol.writeString(value);
            }
            protocol.writeFieldEnd();
        }
        protocol.writeFieldStop();
        protocol.writeStructEnd();
        protocol.writeFieldEnd();
    }
    protocol.writeFieldStop();
    protocol.writeStructEnd();
    Settings value;
    value.read(&protocol);
    return value;
}

template <class Settings>
Settings parse(std::string_view text, const std::string& name,
               const std::string& schema_name) {
    const auto schema = read_schema(schema_name);
    problem_list problems(name);
    const auto entries = read_ini(text, problems);
    for (const auto& item : entries) {
        check_setting(schema, item, problems);
    }
    check_duplicates(entries, problems);
    check_mandatory(schema, entries, problems);
    problems.throw_if_any();
    return bind<Settings>(schema, entries);
}

std::string read_file(const std::string& path) {
    std::ifstream file(path);
    if (!file) {
        throw settings_error(path + ": cannot open settings file");
    }
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

std::string format_reference(const std::string& schema_name) {
    std::ostringstream out;
    for (const auto& section : read_schema(schema_name)) {
        out << "### [" << section.name << "]\n\n"
            << "| key | default | allowed | meaning |\n"
            << "|---|---|---|---|\n";
        for (const auto& rule : section.settings) {
            std::string allowed = rule.kind;
            if (rule.is_integer || rule.is_double) {
                allowed = number_text(rule.min_value) + " to " +
                          number_text(rule.max_value) + " " + rule.unit;
            } else if (!rule.allowed.empty()) {
                allowed = join(rule.allowed);
            }
            const auto default_value = rule.mandatory
                                           ? std::string("must be given")
                                           : rule.default_value;
            out << "| " << rule.name << " | " << default_value << " | "
                << allowed << " | " << rule.help << " |\n";
        }
        out << "\n";
    }
    return out.str();
}

} // namespace

settings::entry_settings parse_settings(std::string_view text,
                                        const std::string& name) {
    return parse<settings::entry_settings>(text, name, entry_schema);
}

settings::entry_settings read_settings_file(const std::string& path) {
    return parse_settings(read_file(path), path);
}

settings::router_settings parse_router_settings(std::string_view text,
                                                const std::string& name) {
    return parse<settings::router_settings>(text, name, router_schema);
}

settings::router_settings read_router_settings_file(const std::string& path) {
    return parse_router_settings(read_file(path), path);
}

std::string settings_reference() {
    return format_reference(entry_schema);
}

std::string router_settings_reference() {
    return format_reference(router_schema);
}

} // namespace lacewingbeam
