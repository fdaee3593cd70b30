#include "process.hpp"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <poll.h>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace testing_support {

namespace {

constexpr int read_timeout_ms = 20000;
constexpr std::chrono::milliseconds exit_poll_interval(10);
constexpr std::chrono::milliseconds condition_poll_interval(20);
constexpr int max_condition_polls = 1000;

std::vector<char*> make_arguments(const std::vector<std::string>& command) {
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (const auto& word : command) {
        arguments.push_back(const_cast<char*>(word.c_str()));
    }
    arguments.push_back(nullptr);
    return arguments;
}

pid_t spawn(const std::vector<std::string>& command, int output,
            const std::string& log) {
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, output, STDOUT_FILENO);
    constexpr mode_t mode = 0600;
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, mode);
    auto arguments = make_arguments(command);
    pid_t pid = -1;
    const int failed = posix_spawn(&pid, command[0].c_str(), &actions, nullptr,
                                   arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) {
        throw std::runtime_error("cannot start " + command[0]);
    }
    return pid;
}

} // namespace

process::process(const std::vector<std::string>& command,
                 const std::string& log) {
    int ends[2];
    if (pipe2(ends, O_CLOEXEC) != 0) {
        throw std::runtime_error("cannot create a pipe");
    }
    output_ = ends[0];
    pid_ = spawn(command, ends[1], log);
    close(ends[1]);
}

std::unique_ptr<process>
process::start_logged(const std::vector<std::string>& command,
                      const std::string& log) {
    constexpr mode_t mode = 0600;
    const int output =
        open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, mode);
    std::unique_ptr<process> started(new process);
    started->pid_ = spawn(command, output, log);
    close(output);
    return started;
}

process::~process() {
    if (is_running()) {
        kill(pid_, SIGKILL);
        reap(true);
    }
    if (output_ >= 0) {
        close(output_);
    }
}

std::string process::read_line() {
    for (;;) {
        const auto end = buffer_.find('\n');
        if (end != std::string::npos) {
            auto line = buffer_.substr(0, end);
            buffer_.erase(0, end + 1);
            return line;
        }
        pollfd ready{output_, POLLIN, 0};
        char chunk[512];
        if (poll(&ready, 1, read_timeout_ms) <= 0) {
            throw std::runtime_error(
                "no output from a child process within 20 s");
        }
        const auto size = read(output_, chunk, sizeof chunk);
        if (size <= 0) {
            throw std::runtime_error(
                "a child process closed its standard output");
        }
        buffer_.append(chunk, static_cast<std::size_t>(size));
    }
}

std::string process::output_so_far() {
    pollfd ready{output_, POLLIN, 0};
    while (poll(&ready, 1, 0) > 0) {
        char chunk[4096];
        const auto size = read(output_, chunk, sizeof chunk);
        if (size <= 0) {
            break;
        }
        buffer_.append(chunk, static_cast<std::size_t>(size));
    }
    return buffer_;
}

std::vector<std::string> process::take_lines() {
    output_so_far();
    std::vector<std::string> lines;
    for (auto end = buffer_.find('\n'); end != std::string::npos;
         end = buffer_.find('\n')) {
        lines.push_back(buffer_.substr(0, end));
        buffer_.erase(0, end + 1);
    }
    return lines;
}

void process::signal(int number) const {
    if (pid_ > 0) {
        kill(pid_, number);
    }
}

bool process::reap(bool block) {
    int status = 0;
    if (waitpid(pid_, &status, block ? 0 : WNOHANG) != pid_) {
        return false;
    }
    pid_ = -1;
    exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return true;
}

bool process::is_running() {
    return pid_ > 0 && !reap(false);
}

bool process::wait_for_exit(std::chrono::milliseconds timeout) {
    for (std::chrono::milliseconds waited{0}; waited < timeout;
         waited += exit_poll_interval) {
        if (!is_running()) {
            return true;
        }
        std::this_thread::sleep_for(exit_poll_interval);
    }
    return !is_running();
}

int run_to_completion(const std::vector<std::string>& command,
                      std::string& output) {
    const temporary_directory directory;
    const auto log = directory.file("log");
    process child(command, log);
    output.clear();
    try {
        for (;;) {
            output += child.read_line() + "\n";
        }
    } catch (const std::runtime_error&) {
        // read_line throws at the end of the output
    }
    constexpr std::chrono::milliseconds timeout(20000);
    child.wait_for_exit(timeout);
    output += read_file(log);
    return child.exit_code();
}

temporary_directory::temporary_directory() {
    auto pattern =
        (std::filesystem::temp_directory_path() / "lacewingbeam-XXXXXX")
            .string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot create a temporary directory");
    }
    path_ = pattern;
}

temporary_directory::~temporary_directory() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
}

std::string temporary_directory::write(const std::string& name,
                                       const std::string& content) const {
    std::ofstream(file(name)) << content;
    return file(name);
}

std::string program(const std::string& name) {
    return std::string(LACEWINGBEAM_TEST_PROGRAMS) + "/" + name;
}

std::string last_word(const std::string& line) {
    return line.substr(line.rfind(' ') + 1);
}

bool eventually(const std::function<bool()>& condition) {
    for (int i = 0; i < max_condition_polls; ++i) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(condition_poll_interval);
    }
    return false;
}

std::string read_file(const std::string& path) {
    std::ifstream input(path);
    std::ostringstream content;
    content << input.rdbuf();
    return content.str();
}

} // namespace testing_support
