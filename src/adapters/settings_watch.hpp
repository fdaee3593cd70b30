#ifndef LACEWINGBEAM_ADAPTERS_SETTINGS_WATCH_HPP
#define LACEWINGBEAM_ADAPTERS_SETTINGS_WATCH_HPP

#include <ctime>
#include <string>
#include <sys/types.h>

namespace lacewingbeam {

// Detects that a settings file was replaced or rewritten.
class settings_watch {
public:
    explicit settings_watch(std::string path);

    const std::string& path() const { return path_; }

    // Returns whether the file has changed since the previous call. A missing
    // file counts as unchanged, because it may be in the middle of a
    // replacement.
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
