#ifndef LACEWINGBEAM_ADAPTERS_SETTINGS_FILE_HPP
#define LACEWINGBEAM_ADAPTERS_SETTINGS_FILE_HPP

#include "lacewingbeam/core.hpp"
#include "settings_types.h"

#include <string>
#include <string_view>
#include <vector>

// Reads the daemons' INI settings files and validates them against the schema.
namespace lacewingbeam {

// Thrown for invalid settings. The message has one line per error with the
// file, line, key and allowed values.
class settings_error : public error {
public:
    using error::error;
};

settings::entry_settings read_settings_file(const std::string& path);

// `name` is the file name used in error messages.
settings::entry_settings parse_settings(std::string_view text,
                                        const std::string& name);

// As above, for the daemon lacewingbeam-router.
settings::router_settings read_router_settings_file(const std::string& path);
settings::router_settings parse_router_settings(std::string_view text,
                                                const std::string& name);

// Return the reference of all settings as Markdown tables.
std::string settings_reference();
std::string router_settings_reference();

} // namespace lacewingbeam

#endif
