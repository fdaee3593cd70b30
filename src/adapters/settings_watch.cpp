#include "settings_watch.hpp"

#include <sys/stat.h>
#include <tuple>
#include <utility>

namespace lacewingbeam {

settings_watch::settings_watch(std::string path) : path_(std::move(path)) {
    read_state(last_state_);
}

bool settings_watch::read_state(file_state& state) const {
    struct stat found {};
    if (stat(path_.c_str(), &found) != 0) {
        return false;
    }
    state = {found.st_ino, found.st_size, found.st_mtim};
    return true;
}

bool settings_watch::has_changed() {
    const auto parts = [](const file_state& state) {
        return std::tuple(state.inode, state.size, state.modified.tv_sec,
                          state.modified.tv_nsec);
    };
    file_state current;
    if (!read_state(current) || parts(current) == parts(last_state_)) {
        return false;
    }
    last_state_ = current;
    return true;
}

} // namespace lacewingbeam
