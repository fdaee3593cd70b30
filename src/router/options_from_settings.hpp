#ifndef LACEWINGBEAM_ROUTER_OPTIONS_FROM_SETTINGS_HPP
#define LACEWINGBEAM_ROUTER_OPTIONS_FROM_SETTINGS_HPP

#include "directory_sync.hpp"
#include "lacewingbeam/directory_follower.hpp"
#include "lacewingbeam/request_router.hpp"
#include "settings_types.h"

#include <string>
#include <vector>

// Converts settings to the options of the router's components.
namespace lacewingbeam {

// Splits a comma-separated list and trims the items.
std::vector<std::string> split_list(const std::string& text);

router_options make_router_options(const settings::router_settings& values);

reading_options make_reading_options(const settings::router_settings& values);

// `seed` determines the instance's ID and its random choices of peers.
follower_options make_follower_options(const settings::router_settings& values,
                                       std::uint64_t seed);

sync_options make_sync_options(const settings::router_settings& values);

// Returns the settings in force after a reload. A setting that can only be
// changed by a restart keeps its value from `running`. If its value differs in
// `reloaded`, its name is added to `needs_restart`.
settings::router_settings
merge_reloaded(const settings::router_settings& running,
               const settings::router_settings& reloaded,
               std::vector<std::string>& needs_restart);

} // namespace lacewingbeam

#endif
