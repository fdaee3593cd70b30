#ifndef LACEWINGBEAM_TEST_INTEGRATION_PROCESS_HPP
#define LACEWINGBEAM_TEST_INTEGRATION_PROCESS_HPP

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

// Child processes of a test, ended with it.
namespace testing_support {

class process {
public:
    // Starts a program whose standard error goes to `log`.
    process(const std::vector<std::string>& command, const std::string& log);

    // The same, with standard output in the file too: for long runs that
    // nobody reads along with.
    static std::unique_ptr<process>
    start_logged(const std::vector<std::string>& command,
                 const std::string& log);

    process(const process&) = delete;
    process& operator=(const process&) = delete;
    ~process();

    // The next line of its standard output. Throws if it ends or stays
    // silent for long.
    std::string read_line();

    // What it has written to standard output and read_line has not returned.
    std::string output_so_far();

    // The whole lines among that, which are then forgotten.
    std::vector<std::string> take_lines();

    void signal(int number) const;
    pid_t id() const { return pid_; }

    // True if it ended by itself within the time; then exit_code holds.
    bool wait_for_exit(std::chrono::milliseconds timeout);
    int exit_code() const { return exit_code_; }
    bool is_running();

private:
    process() = default;
    bool reap(bool block);

    pid_t pid_ = -1;
    int output_ = -1;
    std::string buffer_;
    int exit_code_ = -1;
};

// Runs a program to its end. `output` gets standard output and error.
int run_to_completion(const std::vector<std::string>& command,
                      std::string& output);

// A new directory for a test's files, removed when the object goes.
class temporary_directory {
public:
    temporary_directory();
    ~temporary_directory();
    temporary_directory(const temporary_directory&) = delete;
    temporary_directory& operator=(const temporary_directory&) = delete;

    std::string file(const std::string& name) const {
        return path_ + "/" + name;
    }
    std::string write(const std::string& name,
                      const std::string& content) const;

private:
    std::string path_;
};

std::string read_file(const std::string& path);

// A stand-in or tool of the tests.
std::string program(const std::string& name);

// "listening 127.0.0.1:1234" to "127.0.0.1:1234".
std::string last_word(const std::string& line);

// Waits until the condition holds; false if it does not for long.
bool eventually(const std::function<bool()>& condition);

} // namespace testing_support

#endif
