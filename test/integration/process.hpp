#ifndef LACEWINGBEAM_TEST_INTEGRATION_PROCESS_HPP
#define LACEWINGBEAM_TEST_INTEGRATION_PROCESS_HPP

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

// Child processes and temporary files of a test.
namespace testing_support {

class process {
public:
    // Starts a program and appends its standard error to the file `log`. The
    // destructor kills it if it still runs.
    process(const std::vector<std::string>& command, const std::string& log);

    // Also appends standard output to `log`. For long runs in which nothing
    // reads the output, as a full pipe would block the process.
    static std::unique_ptr<process>
    start_logged(const std::vector<std::string>& command,
                 const std::string& log);

    process(const process&) = delete;
    process& operator=(const process&) = delete;
    ~process();

    // Returns the next line of standard output. Throws if the output ends or
    // nothing arrives for 20 s.
    std::string read_line();

    // Returns the standard output that read_line has not consumed yet.
    std::string output_so_far();

    // Returns and consumes the complete lines of standard output that have
    // arrived so far.
    std::vector<std::string> take_lines();

    void signal(int number) const;
    pid_t id() const { return pid_; }

    // Returns true if the process exits within the time; exit_code is valid
    // then, and -1 if a signal ended the process.
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

// Runs a program to completion and returns its exit code. `output` receives
// standard output followed by standard error.
int run_to_completion(const std::vector<std::string>& command,
                      std::string& output);

// A new directory for a test's files, removed by the destructor.
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

// Returns the path of a stand-in or test program.
std::string program(const std::string& name);

// Returns "127.0.0.1:1234" for "listening 127.0.0.1:1234".
std::string last_word(const std::string& line);

// Polls until the condition holds. Returns false if it does not within 20 s.
bool eventually(const std::function<bool()>& condition);

} // namespace testing_support

#endif
