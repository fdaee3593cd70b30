#ifndef LACEWINGBEAM_ROUTER_OPTIONS_FROM_SETTINGS_HPP
#define LACEWINGBEAM_ROUTER_OPTIONS_FROM_SETTINGS_HPP

#include "directory_sync.hpp"
#include "lacewingbeam/directory_follower.hpp"
#include "lacewingbeam/request_router.hpp"
#include "settings_types.h"

#include <string>
#include <vector>

// From settings to the options of the router's parts.
namespace lacewingbeam {

duration from_seconds(double value);

// Items of a list separated by commas.
std::vector<std::string> split_list(const std::string& text);

router_options make_router_options(const settings::router_settings& values);

reading_options make_reading_options(const settings::router_settings& values);

// `seed` draws the instance's id and its choices of peers.
follower_options make_follower_options(const settings::router_settings& values,
                                       std::uint64_t seed);

sync_options make_sync_options(const settings::router_settings& values);

// The settings in force after `reloaded` was read while `running` was in force.
// What only a restart can change keeps its value; `needs_restart` gets the
// names of these settings that differ.
settings::router_settings
merge_reloaded(const settings::router_settings& running,
               const settings::router_settings& reloaded,
               std::vector<std::string>& needs_restart);

} // namespace lacewingbeam

#endif
