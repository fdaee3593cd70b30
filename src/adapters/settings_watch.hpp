#ifndef LACEWINGBEAM_ADAPTERS_SETTINGS_WATCH_HPP
#define LACEWINGBEAM_ADAPTERS_SETTINGS_WATCH_HPP

#include <ctime>
#include <string>
#include <sys/types.h>

namespace lacewingbeam {

// Notices that a settings file was replaced or rewritten.
class settings_watch {
public:
    explicit settings_watch(std::string path);

    const std::string& path() const { return path_; }

    // True once for each change since the last call. A file that is missing
    // for a moment, while it is replaced, has not changed yet.
    bool has_changed();

private:
    struct file_state {
        ino_t inode = 0;
        off_t size = 0;
        timespec modified{};
    };

    bool read_state(file_state& state) const;

    std::string path_;
    file_state last_state_;
};

} // namespace lacewingbeam

#endif
