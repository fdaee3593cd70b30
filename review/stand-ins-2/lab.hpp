#ifndef LACEWINGBEAM_REVIEW_LAB_HPP
#define LACEWINGBEAM_REVIEW_LAB_HPP

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <linux/filter.h>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <regex>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

// A small deployment on loopback for the cases of the review: the project's
// stand-ins for the store and for backend servers, routers started with the
// command of the deploy file, and plain sockets for callers.
namespace review {

using json = nlohmann::json;
using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_could_not_run = 2;

inline void pause_for(milliseconds time) {
    std::this_thread::sleep_for(time);
}

inline std::int64_t steady_ms() {
    return std::chrono::duration_cast<milliseconds>(
               clock_type::now().time_since_epoch())
        .count();
}

inline bool trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

inline std::string read_file(const std::filesystem::path& path) {
    std::ifstream file(path);
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

inline std::string encode_base64(std::string_view text) {
    constexpr std::string_view digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        unsigned group = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            const auto byte = i + k < text.size()
                                  ? static_cast<unsigned char>(text[i + k])
                                  : 0U;
            group = (group << 8U) | byte;
        }
        for (std::size_t k = 0; k < 4; ++k) {
            out += i + k > text.size() ? '='
                                       : digits[(group >> (18 - 6 * k)) & 63U];
        }
    }
    return out;
}

// A process that the case started. It is killed at the latest when the object
// is destroyed or the case ends.
class child {
public:
    child(std::vector<std::string> arguments, const std::string& log) {
        pid_ = fork();
        if (pid_ == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int fd =
                open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(fd, STDOUT_FILENO);
            dup2(fd, STDERR_FILENO);
            std::vector<char*> pointers;
            for (auto& argument : arguments) {
                pointers.push_back(argument.data());
            }
            pointers.push_back(nullptr);
            execv(pointers[0], pointers.data());
            _exit(127);
        }
    }
    child(const child&) = delete;
    child& operator=(const child&) = delete;
    ~child() {
        if (!ended()) {
            kill(pid_, SIGKILL);
            waitpid(pid_, nullptr, 0);
        }
    }

    pid_t pid() const { return pid_; }
    void send(int number) const { kill(pid_, number); }

    // Returns true once the process has ended; status() then says how.
    bool ended() {
        if (!status_) {
            int status = 0;
            if (waitpid(pid_, &status, WNOHANG) == pid_) {
                status_ = status;
            }
        }
        return status_.has_value();
    }

    std::string status() const {
        if (WIFSIGNALED(*status_)) {
            return "signal " + std::to_string(WTERMSIG(*status_));
        }
        return "exit code " + std::to_string(WEXITSTATUS(*status_));
    }

private:
    pid_t pid_ = 0;
    std::optional<int> status_;
};

// A caller's connection.
class connection {
public:
    explicit connection(const std::string& address)
        : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        const auto colon = address.rfind(':');
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(
            static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
        inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
        open_ = connect(fd_, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0;
    }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection() { close_normally(); }

    bool is_open() const { return open_; }

    void send(std::string_view bytes) const {
        while (!bytes.empty()) {
            const auto sent =
                ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0) {
                return;
            }
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
    }

    // Returns what arrives until the peer closes, nothing arrives for `quiet`,
    // or `enough` says so.
    template <class Enough>
    std::string receive(milliseconds quiet, Enough enough) const {
        std::string out;
        while (!enough(out)) {
            pollfd item{fd_, POLLIN, 0};
            if (poll(&item, 1, static_cast<int>(quiet.count())) <= 0) {
                break;
            }
            char buffer[65536];
            const auto size = recv(fd_, buffer, sizeof buffer, 0);
            if (size <= 0) {
                break;
            }
            out.append(buffer, static_cast<std::size_t>(size));
        }
        return out;
    }

    void close_normally() {
        if (fd_ >= 0) {
            close(fd_);
            fd_ = -1;
        }
    }

    // The close reaches the peer as a reset.
    void close_with_reset() {
        const linger at_once{1, 0};
        setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        close_normally();
    }

private:
    int fd_;
    bool open_ = false;
};

inline bool is_whole_response(const std::string& text) {
    const auto end = text.find("\r\n\r\n");
    if (end == std::string::npos) {
        return false;
    }
    std::smatch found;
    const auto head = text.substr(0, end + 2);
    const std::regex length("\r\ncontent-length: *([0-9]+)\r\n",
                            std::regex::icase);
    return std::regex_search(head, found, length)
               ? text.size() >= end + 4 + std::stoul(found[1])
               : true;
}

// Returns the status of a response, or 0 if there is none.
inline int status_of(const std::string& response) {
    return response.starts_with("HTTP/1.1 ") ? std::atoi(response.c_str() + 9)
                                             : 0;
}

inline std::string call(const std::string& address, const std::string& request,
                        milliseconds quiet = milliseconds(2000)) {
    const connection caller(address);
    if (!caller.is_open()) {
        return {};
    }
    caller.send(request);
    return caller.receive(quiet, is_whole_response);
}

// A proxy in front of a server. It drops all packets of one source, so that its
// open connections are silent and new ones get no answer, and resets the
// connections of another, open ones and new ones.
class cutting_proxy {
public:
    explicit cutting_proxy(const std::string& target)
        : target_(target),
          listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        if (bind(listener_, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
            listen(listener_, 256) != 0 ||
            getsockname(listener_, reinterpret_cast<sockaddr*>(&address),
                        &size) != 0) {
            throw std::runtime_error("a proxy cannot listen");
        }
        address_ = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
        thread_ = std::thread([this] { run(); });
    }
    cutting_proxy(const cutting_proxy&) = delete;
    cutting_proxy& operator=(const cutting_proxy&) = delete;
    ~cutting_proxy() {
        stopped_ = true;
        thread_.join();
        for (const auto& each : pairs_) {
            end(each);
        }
        close(listener_);
    }

    const std::string& address() const { return address_; }

    void cut(const std::string& silent_source,
             const std::string& reset_source) {
        const std::lock_guard lock(mutex_);
        cut_ = silent_source;
        reset_ = reset_source;
    }

private:
    struct pair {
        std::string source;
        int client = -1;
        int server = -1;
        bool dropped = false;
    };

    static void end(const pair& item) {
        close(item.client);
        close(item.server);
    }

    // Drops the packets of a source that arrive for the proxy's own socket.
    static void drop_packets(int fd, const std::string& source) {
        in_addr address{};
        inet_pton(AF_INET, source.c_str(), &address);
        constexpr unsigned source_at = 12; // in the IP header
        sock_filter code[] = {
            BPF_STMT(BPF_LD | BPF_W | BPF_ABS,
                     static_cast<unsigned>(SKF_NET_OFF) + source_at),
            BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, ntohl(address.s_addr), 0, 1),
            BPF_STMT(BPF_RET | BPF_K, 0),
            BPF_STMT(BPF_RET | BPF_K, 0xffffffff)};
        const sock_fprog program{4, code};
        if (setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                       sizeof program) != 0) {
            throw std::runtime_error("a proxy cannot drop packets");
        }
    }

    void accept_one() {
        sockaddr_in from{};
        socklen_t size = sizeof from;
        pair item;
        item.client = accept4(listener_, reinterpret_cast<sockaddr*>(&from),
                              &size, SOCK_CLOEXEC);
        if (item.client < 0) {
            return;
        }
        char text[INET_ADDRSTRLEN] = {};
        inet_ntop(AF_INET, &from.sin_addr, text, sizeof text);
        item.source = text;
        item.server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in to{};
        const auto colon = target_.rfind(':');
        to.sin_family = AF_INET;
        to.sin_port = htons(
            static_cast<std::uint16_t>(std::stoi(target_.substr(colon + 1))));
        inet_pton(AF_INET, target_.substr(0, colon).c_str(), &to.sin_addr);
        if (connect(item.server, reinterpret_cast<sockaddr*>(&to), sizeof to) !=
            0) {
            end(item);
            return;
        }
        pairs_.push_back(item);
    }

    // Returns false once either side has closed.
    static bool forward(int from, int to) {
        char buffer[65536];
        const auto size = recv(from, buffer, sizeof buffer, 0);
        return size > 0 && ::send(to, buffer, static_cast<std::size_t>(size),
                                  MSG_NOSIGNAL) == size;
    }

    void apply_cut() {
        const std::lock_guard lock(mutex_);
        if (cut_.empty()) {
            return;
        }
        if (!listener_drops_) {
            listener_drops_ = true;
            drop_packets(listener_, cut_);
        }
        for (auto& each : pairs_) {
            if (each.source == cut_ && !each.dropped) {
                each.dropped = true;
                drop_packets(each.client, cut_);
            }
        }
        std::erase_if(pairs_, [this](const pair& item) {
            const bool is_reset = item.source == reset_;
            if (is_reset) {
                const linger at_once{1, 0};
                setsockopt(item.client, SOL_SOCKET, SO_LINGER, &at_once,
                           sizeof at_once);
                end(item);
            }
            return is_reset;
        });
    }

    void run() {
        while (!stopped_) {
            apply_cut();
            std::vector<pollfd> items{{listener_, POLLIN, 0}};
            for (const auto& each : pairs_) {
                items.push_back({each.client, POLLIN, 0});
                items.push_back({each.server, POLLIN, 0});
            }
            if (poll(items.data(), items.size(), 5) <= 0) {
                continue;
            }
            for (std::size_t i = pairs_.size(); i-- > 0;) {
                const auto& each = pairs_[i];
                const bool open = (items[1 + 2 * i].revents == 0 ||
                                   forward(each.client, each.server)) &&
                                  (items[2 + 2 * i].revents == 0 ||
                                   forward(each.server, each.client));
                if (!open) {
                    end(each);
                    pairs_.erase(pairs_.begin() +
                                 static_cast<std::ptrdiff_t>(i));
                }
            }
            if (items[0].revents != 0) {
                accept_one();
            }
        }
    }

    std::string target_;
    int listener_;
    std::string address_;
    std::mutex mutex_;
    std::string cut_;
    std::string reset_;
    bool listener_drops_ = false;
    std::atomic<bool> stopped_ = false;
    std::vector<pair> pairs_;
    std::thread thread_;
};

struct router {
    std::string name;
    std::string front;
    std::string ready;
    std::string control;
    std::string metrics;
    std::string source; // of its connections to servers, if it is set
    std::string settings;
    std::string log;
    std::unique_ptr<child> process;
};

struct server {
    std::string id;
    std::string address;
    std::string log;
    std::unique_ptr<child> process;

    // Returns the milliseconds of the steady clock at which requests arrived
    // or ran, by request ID.
    std::multimap<std::string, std::int64_t>
    events(const std::string& kind) const {
        std::multimap<std::string, std::int64_t> out;
        std::istringstream lines(read_file(log));
        std::string word;
        std::string id_of_request;
        std::int64_t at = 0;
        for (std::string line; std::getline(lines, line);) {
            std::istringstream fields(line);
            if (fields >> word >> id_of_request >> at && word == kind) {
                out.emplace(id_of_request, at);
            }
        }
        return out;
    }
};

struct route {
    std::string prefix;
    std::string service;
    std::string kind; // safe, unsafe or download
    int timeout_ms = 3000;
    int objective_ms = 500;
};

class lab {
public:
    // `folder` is that of the case.
    explicit lab(const std::filesystem::path& folder)
        : record_(folder / "record.txt"), started_(clock_type::now()) {
        std::signal(SIGPIPE, SIG_IGN);
        root_ = std::filesystem::current_path();
        std::string pattern =
            (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        files_ = mkdtemp(pattern.data());
        note(std::string("disruption: ") + (trouble() ? "yes" : "no"));
    }
    ~lab() {
        routers.clear();
        servers.clear();
        store_.reset();
        for (const int fd : reserved_) {
            close(fd);
        }
        if (std::getenv("KEEP_LOGS") == nullptr) {
            std::filesystem::remove_all(files_);
        } else {
            std::cout << files_ << std::endl;
        }
    }

    void note(const std::string& text) {
        const auto at = std::chrono::duration_cast<milliseconds>(
            clock_type::now() - started_);
        const auto line = std::to_string(at.count()) + " ms: " + text;
        record_ << line << std::endl;
        std::cout << line << std::endl;
    }

    void start_store() {
        const auto log = (files_ / "store.log").string();
        store_ = std::make_unique<child>(
            std::vector<std::string>{program("standin-store")}, log);
        store_address = address_in(log);
    }

    // `registered` is the address in the registration; empty: the server's own.
    server& add_server(const std::string& service, const std::string& id,
                       int slots, const std::string& registered = {}) {
        auto& created = start_server(id, slots);
        register_server(service, created, slots, registered);
        return created;
    }

    server& start_server(const std::string& id, int slots) {
        auto created = std::make_unique<server>();
        created->id = id;
        created->log = (files_ / (id + ".log")).string();
        created->process = std::make_unique<child>(
            std::vector<std::string>{program("standin-routed-server"), "-i", id,
                                     "-s", std::to_string(slots)},
            created->log);
        created->address = address_in(created->log);
        servers.push_back(std::move(created));
        return *servers.back();
    }

    // Starts a server that has ended once more, at its address.
    void start_again(server& item, int slots) const {
        const auto port = item.address.substr(item.address.rfind(':') + 1);
        item.process = std::make_unique<child>(
            std::vector<std::string>{program("standin-routed-server"), "-i",
                                     item.id, "-s", std::to_string(slots), "-p",
                                     port},
            item.log);
    }

    void register_server(const std::string& service, const server& item,
                         int slots, const std::string& registered = {}) {
        put("servers", item.id,
            json{{"service", service},
                 {"addr", registered.empty() ? item.address : registered},
                 {"zone", "a"},
                 {"version", "v1"},
                 {"capacity", slots},
                 {"state", "ready"},
                 {"coldLeftMs", 0},
                 {"sequence", 1},
                 {"born", 1700000000000}}
                .dump());
    }

    void put(const std::string& table, const std::string& key,
             const std::string& value) {
        put_encoded(table, key, encode_base64(value));
    }

    // Writes a row whose value is the text as it stands.
    void put_encoded(const std::string& table, const std::string& key,
                     const std::string& value) {
        const json body{{"put",
                         {{{"tableName", table},
                           {"part", ""},
                           {"key", key},
                           {"value", value}}}}};
        const auto text = body.dump();
        const auto response = call(
            store_address, "POST /rows-tx HTTP/1.1\r\nHost: store\r\n"
                           "Content-Type: application/json\r\n"
                           "Content-Length: " +
                               std::to_string(text.size()) + "\r\n\r\n" + text);
        if (status_of(response) != 200) {
            throw std::runtime_error("the store took no row: " + response);
        }
    }

    void publish(const std::vector<route>& routes) {
        json resources = json::array();
        resources.push_back({{"type", "limits"},
                             {"metadata", json::object()},
                             {"spec",
                              {{"maxHeaderBytes", 16384},
                               {"maxBodyBytes", max_body_bytes},
                               {"headerTimeoutMs", 3000},
                               {"idleTimeoutMs", 15000}}}});
        std::map<std::string, bool> known;
        for (const auto& item : routes) {
            resources.push_back({{"type", "routes"},
                                 {"metadata", {{"name", item.prefix}}},
                                 {"spec",
                                  {{"host", "callers.example"},
                                   {"prefix", item.prefix},
                                   {"routeKind", item.kind},
                                   {"timeoutMs", item.timeout_ms},
                                   {"sloMs", item.objective_ms},
                                   {"priority", 0},
                                   {"maxAttempts", 2},
                                   {"service", item.service}}}});
            if (!known[item.service]) {
                known[item.service] = true;
                resources.push_back(
                    {{"type", "services"},
                     {"metadata", {{"name", item.service}}},
                     {"spec",
                      {{"healthPath", "/healthz"}, {"maxConns", 220}}}});
            }
        }
        put("op", "config",
            json{{"version", "00000001"}, {"resources", resources}}.dump());
    }

    // Writes the settings of `count` routers, as the platform does from the
    // template of the deploy file, and starts them. With `own_sources`, router
    // i connects to servers from 127.0.1.(10 + i), so that a proxy can tell the
    // routers apart.
    void start_routers(int count, bool own_sources = false) {
        for (int i = 0; i < count; ++i) {
            auto created = std::make_unique<router>();
            created->name = "router" + std::to_string(i);
            created->front = free_address();
            created->ready = free_address();
            created->control = free_address();
            created->metrics = free_address();
            created->source = "127.0.1." + std::to_string(10 + i);
            created->log = (files_ / (created->name + ".log")).string();
            created->settings = (files_ / (created->name + ".ini")).string();
            routers.push_back(std::move(created));
        }
        std::string seeds;
        for (const auto& item : routers) {
            seeds += (seeds.empty() ? "" : ",") + item->control;
        }
        for (const auto& item : routers) {
            auto text = read_file(root_ / "deploy/settings.ini.in");
            const std::map<std::string, std::string> values{
                {"{{zone}}", "a"},
                {"{{listen.front}}", item->front},
                {"{{listen.ready}}", item->ready},
                {"{{listen.control}}", item->control},
                {"{{ip}}:{{portRange.0}}", item->metrics},
                {"{{bounds.graceS}}", "6"},
                {"{{platform.addr}}", store_address},
                {"{{#bootstrap}}1500{{/bootstrap}}", ""},
                {"{{^bootstrap}}30{{/bootstrap}}", "30"},
                {"{{bounds.configMs}}", "2000"},
                {"{{seedAddrs}}", seeds},
                {"{{bounds.budgetRatio}}", "0.2"},
                {"{{bounds.budgetSlack}}", "56"},
                {"{{bounds.budgetWindowS}}", "10"},
                {"{{bounds.probesPerS}}", "60"}};
            for (const auto& [name, value] : values) {
                for (auto at = text.find(name); at != std::string::npos;
                     at = text.find(name)) {
                    text.replace(at, name.size(), value);
                }
            }
            if (own_sources) {
                text.replace(text.find("[router]"), 8,
                             "[router]\nsource_ip = " + item->source);
            }
            std::ofstream(item->settings) << text;
            start(*item);
        }
    }

    void start(router& item) const {
        item.process = std::make_unique<child>(
            std::vector<std::string>{
                (root_ / "target/platform/lacewingbeam-router").string(),
                "--settings", item.settings},
            item.log);
    }

    static bool is_ready(const router& item) {
        return status_of(call(item.ready,
                              "GET /readyz HTTP/1.1\r\nHost: r\r\n\r\n",
                              milliseconds(500))) == 200;
    }

    void wait_until_ready() const {
        const auto end = clock_type::now() + std::chrono::seconds(10);
        for (const auto& item : routers) {
            while (!is_ready(*item)) {
                if (clock_type::now() > end) {
                    throw std::runtime_error(item->name + " is not ready");
                }
                pause_for(milliseconds(30));
            }
        }
    }

    // As in the users' examples of messages (fleetbench wire).
    static constexpr int max_body_bytes = 67108864;

    std::string store_address;
    std::vector<std::unique_ptr<server>> servers;
    std::vector<std::unique_ptr<router>> routers;

private:
    std::string program(const std::string& name) const {
        return (root_ / "target/review-2" / name).string();
    }

    // Stand-ins print "listening IP:PORT" first.
    static std::string address_in(const std::string& log) {
        for (int i = 0; i < 500; ++i) {
            const auto text = read_file(log);
            const auto end = text.find('\n');
            if (end != std::string::npos) {
                const auto line = text.substr(0, end);
                return line.substr(line.rfind(' ') + 1);
            }
            pause_for(milliseconds(10));
        }
        throw std::runtime_error("a stand-in did not start: " + log);
    }

    // The socket stays bound, so that no other process gets the port.
    std::string free_address() {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
            getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) !=
                0) {
            throw std::runtime_error("no free port");
        }
        const int on = 1;
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        reserved_.push_back(fd);
        return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    }

    std::ofstream record_;
    clock_type::time_point started_;
    std::filesystem::path root_;
    std::filesystem::path files_;
    std::unique_ptr<child> store_;
    std::vector<int> reserved_;
};

inline std::string make_request(const std::string& method,
                                const std::string& target,
                                const std::string& id, int deadline_ms,
                                const std::string& more_headers = {},
                                const std::string& body = {}) {
    return method + " " + target +
           " HTTP/1.1\r\nHost: callers.example\r\nX-Request-Id: " + id +
           "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n" +
           more_headers + "\r\n" + body;
}

// Runs a case; returns the exit code of its script.
template <class Case>
int run_case(int argc, char** argv, Case run) {
    if (argc != 2) {
        std::cerr << "usage: " << argv[0] << " FOLDER" << std::endl;
        return exit_could_not_run;
    }
    try {
        lab deployment(argv[1]);
        return run(deployment);
    } catch (const std::exception& problem) {
        std::cerr << "could not run: " << problem.what() << std::endl;
        return exit_could_not_run;
    }
}

} // namespace review

#endif
