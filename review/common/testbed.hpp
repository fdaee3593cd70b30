#ifndef REVIEW_COMMON_TESTBED_HPP
#define REVIEW_COMMON_TESTBED_HPP

// Stand-ins for the users' platform, for the scripts in this directory: the
// store, backend servers, clients, and the platform's handling of router
// processes. Each script runs the routers as separate processes and plays all
// other parts in its own process, on loopback addresses and the real clock.

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace testbed {

using json = nlohmann::json;
using steady = std::chrono::steady_clock;

inline constexpr int exit_held = 0;
inline constexpr int exit_broken = 1;
inline constexpr int exit_not_run = 2;

inline const steady::time_point process_start = steady::now();

inline double now_s() {
    return std::chrono::duration<double>(steady::now() - process_start).count();
}

inline void sleep_ms(double ms) {
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

// The record of what was sent, answered and run.
class record {
public:
    explicit record(const std::string& path) : out_(path) {}

    void line(const std::string& text) {
        std::lock_guard lock(mutex_);
        char time[32];
        std::snprintf(time, sizeof time, "%9.3f ", now_s());
        out_ << time << text << "\n";
        out_.flush();
    }

    // A line that is also printed.
    void note(const std::string& text) {
        line(text);
        std::lock_guard lock(mutex_);
        std::printf("%9.3f %s\n", now_s(), text.c_str());
        std::fflush(stdout);
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
};

inline int listen_on_loopback(std::atomic<std::uint16_t>& port,
                              int backlog = 512) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    socklen_t size = sizeof address;
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        listen(fd, backlog) != 0 ||
        getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
        close(fd);
        throw std::runtime_error("cannot listen");
    }
    port = ntohs(address.sin_port);
    return fd;
}

inline int connect_to(std::uint16_t port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
        0) {
        close(fd);
        return -1;
    }
    return fd;
}

inline std::string lower(std::string text) {
    for (auto& c : text) {
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    return text;
}

struct message {
    std::string first_line;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;

    std::string header(const std::string& name) const {
        const auto found = headers.find(lower(name));
        return found == headers.end() ? "" : found->second;
    }
    std::string method() const {
        return first_line.substr(0, first_line.find(' '));
    }
    std::string target() const {
        const auto begin = first_line.find(' ') + 1;
        return first_line.substr(begin, first_line.find(' ', begin) - begin);
    }
    std::string path() const { return target().substr(0, target().find('?')); }
    std::string query(const std::string& name) const {
        const auto text = target();
        std::istringstream in(text.find('?') == std::string::npos
                                  ? ""
                                  : text.substr(text.find('?') + 1));
        std::string part;
        while (std::getline(in, part, '&')) {
            if (part.starts_with(name + "=")) {
                return part.substr(name.size() + 1);
            }
        }
        return {};
    }
    int status() const {
        return first_line.size() > 12 ? std::atoi(first_line.c_str() + 9) : 0;
    }
};

// Reads HTTP messages with a declared length from a socket.
class message_reader {
public:
    explicit message_reader(int fd) : fd_(fd) {}

    // Returns nullopt at the end of the connection or after the timeout.
    std::optional<message> read(int timeout_ms = -1) {
        timed_out = false;
        const auto deadline =
            steady::now() + std::chrono::milliseconds(timeout_ms);
        std::size_t head_end = 0;
        while ((head_end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(timeout_ms, deadline)) {
                return std::nullopt;
            }
        }
        message out;
        std::istringstream head(buffer_.substr(0, head_end));
        std::string text;
        std::getline(head, text);
        out.first_line = strip(text);
        while (std::getline(head, text)) {
            const auto colon = text.find(':');
            if (colon != std::string::npos) {
                out.headers[lower(text.substr(0, colon))] =
                    strip(text.substr(colon + 1));
            }
        }
        const auto length = out.header("Content-Length");
        const std::size_t size = length.empty() ? 0 : std::stoul(length);
        while (buffer_.size() < head_end + 4 + size) {
            if (!fill(timeout_ms, deadline)) {
                return std::nullopt;
            }
        }
        out.body = buffer_.substr(head_end + 4, size);
        buffer_.erase(0, head_end + 4 + size);
        return out;
    }

    bool timed_out = false;
    bool received_any() const { return !buffer_.empty(); }

private:
    static std::string strip(const std::string& text) {
        const auto begin = text.find_first_not_of(" \t\r");
        if (begin == std::string::npos) {
            return {};
        }
        return text.substr(begin, text.find_last_not_of(" \t\r") - begin + 1);
    }

    bool fill(int timeout_ms, steady::time_point deadline) {
        if (timeout_ms >= 0) {
            const auto left =
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    deadline - steady::now())
                    .count();
            pollfd item{fd_, POLLIN, 0};
            if (left < 0 || poll(&item, 1, static_cast<int>(left)) <= 0) {
                timed_out = true;
                return false;
            }
        }
        char chunk[16384];
        const auto size = recv(fd_, chunk, sizeof chunk, 0);
        if (size <= 0) {
            return false;
        }
        buffer_.append(chunk, static_cast<std::size_t>(size));
        return true;
    }

    int fd_;
    std::string buffer_;
};

inline bool send_all(int fd, const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto size =
            ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

// A server with one thread per connection.
class server {
public:
    // Handles one request; returns false to close the connection.
    using handler = std::function<bool(int fd, const message& request)>;

    explicit server(handler handle, std::uint16_t port = 0)
        : handle_(std::move(handle)), port_(port) {
        open();
    }
    ~server() { shut(); }
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    std::uint16_t port() const { return port_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

    // As when the process ends: the port is closed and connections are reset.
    void shut() {
        int listener = -1;
        {
            std::lock_guard lock(mutex_);
            listener = std::exchange(listener_, -1);
            for (const int fd : connections_) {
                const linger reset{1, 0};
                setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
                shutdown(fd, SHUT_RDWR);
            }
        }
        if (listener >= 0) {
            shutdown(listener, SHUT_RDWR);
            if (acceptor_.joinable()) {
                acceptor_.join();
            }
            close(listener);
        }
    }

    // Opens the same port again, or another one if it is in use by now.
    void open() {
        int listener = -1;
        try {
            listener = listen_on_loopback(port_);
        } catch (const std::runtime_error&) {
            port_ = 0;
            listener = listen_on_loopback(port_);
        }
        {
            std::lock_guard lock(mutex_);
            listener_ = listener;
        }
        acceptor_ = std::thread([this, listener] {
            while (true) {
                const int fd =
                    accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0 && (errno == EBADF || errno == EINVAL)) {
                    return; // shut down
                }
                if (fd < 0) {
                    continue; // the client has closed the connection
                }
                const int on = 1;
                setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                {
                    std::lock_guard lock(mutex_);
                    connections_.insert(fd);
                }
                std::thread([this, fd] { serve(fd); }).detach();
            }
        });
    }

private:
    void serve(int fd) {
        message_reader reader(fd);
        while (const auto request = reader.read()) {
            if (!handle_(fd, *request)) {
                break;
            }
        }
        {
            std::lock_guard lock(mutex_);
            connections_.erase(fd);
        }
        close(fd);
    }

    handler handle_;
    std::atomic<std::uint16_t> port_;
    std::mutex mutex_;
    int listener_ = -1;
    std::set<int> connections_;
    std::thread acceptor_;
};

inline std::string base64(const std::string& text) {
    static const char* digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = group << 8U | (i + j < text.size()
                                       ? static_cast<unsigned char>(text[i + j])
                                       : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            out += i + j <= text.size() ? digits[group >> (18 - 6 * j) & 63U]
                                        : '=';
        }
    }
    return out;
}

inline std::string response(int status, const std::string& reason,
                            const std::vector<std::string>& headers,
                            const std::string& body) {
    std::string out = "HTTP/1.1 " + std::to_string(status) + " " + reason;
    out += "\r\n";
    for (const auto& header : headers) {
        out += header + "\r\n";
    }
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    return out;
}

// The platform's store: rows with revisions, reads and long polls.
class store {
public:
    store()
        : server_([this](int fd, const message& m) { return handle(fd, m); }) {}

    std::string address() const { return server_.address(); }

    void put(const std::string& table, const std::string& key,
             const json& value) {
        put_text(table, key, base64(value.dump()));
    }

    // Puts a row whose value is this text, as its writer sent it.
    void put_text(const std::string& table, const std::string& key,
                  const std::string& text) {
        std::lock_guard lock(mutex_);
        tables_[table][key] = {text, ++revision_, false};
        changed_.notify_all();
    }

    void remove(const std::string& table, const std::string& key) {
        std::lock_guard lock(mutex_);
        tables_[table][key] = {{}, ++revision_, true};
        changed_.notify_all();
    }

private:
    struct row {
        std::string value;
        std::uint64_t revision = 0;
        bool deleted = false;
    };

    static json to_json(const std::string& table, const std::string& key,
                        const row& item) {
        json out{{"tableName", table},
                 {"part", ""},
                 {"key", key},
                 {"revision", item.revision}};
        if (item.deleted) {
            out["deleted"] = true;
        } else {
            out["value"] = item.value;
        }
        return out;
    }

    json changes(const std::string& table, std::uint64_t after) {
        std::map<std::uint64_t, json> ordered;
        for (const auto& [key, item] : tables_[table]) {
            if (item.revision > after) {
                ordered[item.revision] = to_json(table, key, item);
            }
        }
        json rows = json::array();
        for (auto& [revision, item] : ordered) {
            rows.push_back(item);
        }
        return rows;
    }

    bool handle(int fd, const message& request) {
        json body;
        {
            std::unique_lock lock(mutex_);
            const auto table = request.query("tableName");
            if (request.path() == "/rows-feed") {
                const auto after = std::stoull(request.query("after"));
                const auto wait = request.query("waitMs");
                changed_.wait_for(
                    lock,
                    std::chrono::milliseconds(wait.empty() ? 0
                                                           : std::stoi(wait)),
                    [&] { return !changes(table, after).empty(); });
                body["rows"] = changes(table, after);
            } else if (request.path() == "/rows-get") {
                body["rows"] = json::array();
                for (const auto& [key, item] : tables_[table]) {
                    if (!item.deleted && key >= request.query("from")) {
                        body["rows"].push_back(to_json(table, key, item));
                    }
                }
                body["hasMore"] = false;
            } else {
                return send_all(fd, response(404, "Not Found", {}, ""));
            }
            body["revision"] = revision_;
            body["nowMs"] = static_cast<std::int64_t>(now_s() * 1000);
        }
        return send_all(
            fd, response(200, "OK",
                         {"Content-Type: application/json", "Store-Era: 1"},
                         body.dump()));
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, row>> tables_;
    std::uint64_t revision_ = 0;
    server server_;
};

struct route {
    std::string name;
    std::string prefix;
    std::string service;
    std::string kind = "safe";
    int time_limit_ms = 3000;
    int objective_ms = 400;
    int max_attempts = 2;
};

inline const std::string host = "callers.example";

inline json make_config(unsigned version, const std::vector<route>& routes) {
    char number[16];
    std::snprintf(number, sizeof number, "%08x", version);
    json resources = json::array();
    std::set<std::string> services;
    for (const auto& item : routes) {
        resources.push_back({{"type", "routes"},
                             {"metadata", {{"name", item.name}}},
                             {"spec",
                              {{"host", host},
                               {"prefix", item.prefix},
                               {"routeKind", item.kind},
                               {"timeoutMs", item.time_limit_ms},
                               {"sloMs", item.objective_ms},
                               {"priority", 1},
                               {"service", item.service},
                               {"maxAttempts", item.max_attempts}}}});
        services.insert(item.service);
    }
    for (const auto& name : services) {
        resources.push_back({{"type", "services"},
                             {"metadata", {{"name", name}}},
                             {"spec",
                              {{"healthPath", "/healthz"},
                               {"maxConns", 260},
                               {"protocol", "h1"},
                               {"tls", false}}}});
    }
    resources.push_back({{"type", "limits"},
                         {"metadata", json::object()},
                         {"spec",
                          {{"maxHeaderBytes", 16384},
                           {"maxBodyBytes", 67108864},
                           {"headerTimeoutMs", 3000},
                           {"idleTimeoutMs", 15000}}}});
    return {{"version", number}, {"resources", resources}};
}

// A backend server: `slots` requests at a time and a short queue.
class backend {
public:
    backend(record& log, std::string id, std::string service, unsigned slots,
            int work_ms)
        : log_(log), id_(std::move(id)), service_(std::move(service)),
          slots_(slots), work_ms_(work_ms), born_(unix_ms()),
          server_([this](int fd, const message& m) { return handle(fd, m); }) {}

    const std::string& id() const { return id_; }
    std::string address() const { return server_.address(); }

    json registration(bool draining = false) {
        return {{"service", service_},
                {"addr", server_.address()},
                {"zone", "a"},
                {"version", "v1"},
                {"capacity", slots_},
                {"state", draining ? "draining" : "ready"},
                {"coldLeftMs", 0},
                {"born", born_.load()},
                {"sequence", ++sequence_}};
    }

    // The server crashes: connections are reset and its port refuses others.
    // Nothing that it was running ends.
    void crash() {
        {
            std::lock_guard lock(mutex_);
            ++life_;
            running_ = 0;
            freed_.notify_all();
        }
        server_.shut();
    }

    // The server starts again under its id and address.
    void restart() {
        born_ = unix_ms();
        sequence_ = 0;
        server_.open();
    }

    void set_work_ms(int value) { work_ms_ = value; }
    unsigned runs(const std::string& request_id) {
        std::lock_guard lock(mutex_);
        const auto found = runs_.find(request_id);
        return found == runs_.end() ? 0 : found->second;
    }
    unsigned running() {
        std::lock_guard lock(mutex_);
        return running_;
    }

    // Adds headers to all answers, such as "Server-Leaving: 1".
    std::function<std::vector<std::string>()> extra_headers;
    // Answers a request instead of running it; returns false if it does not.
    std::function<bool(int fd, const message& request)> instead;
    // Changes the bytes of an answer.
    std::function<std::string(std::string)> spoil;
    // Requests that crash the server that runs them, and what happens then.
    std::function<bool(const message& request)> deadly;
    std::function<void(backend&)> crashed;

private:
    static std::int64_t unix_ms() {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
    }

    std::vector<std::string> load_headers() {
        std::vector<std::string> headers{
            "X-Backend-Load: " + std::to_string(running_) + "," +
            std::to_string(waiting_) + "," + std::to_string(slots_) + ",100"};
        if (extra_headers) {
            for (auto& item : extra_headers()) {
                headers.push_back(std::move(item));
            }
        }
        return headers;
    }

    bool handle(int fd, const message& request) {
        const auto request_id = request.header("X-Request-Id");
        std::unique_lock lock(mutex_);
        const auto life = life_;
        if (request.path() == "/healthz") {
            auto headers = load_headers();
            headers.push_back("X-Backend-Id: " + id_);
            headers.push_back("X-Request-Id: " + request_id);
            lock.unlock();
            return send_all(fd, response(200, "OK", headers, ""));
        }
        const auto refuse = [&](int status, const std::string& reason) {
            auto headers = load_headers();
            headers.push_back("X-Not-Executed: 1");
            headers.push_back("X-Request-Id: " + request_id);
            headers.push_back("X-Backend-Id: " + id_);
            lock.unlock();
            log_.line("refuse " + request_id + " at " + id_ + " " +
                      std::to_string(status));
            return send_all(fd, response(status, reason, headers, ""));
        };
        const auto expected = request.header("X-Expect-Backend");
        if (!expected.empty() && expected != id_) {
            return refuse(421, "Misdirected Request");
        }
        if (instead && instead(fd, request)) {
            return true;
        }
        constexpr unsigned queue = 8;
        if (running_ >= slots_) {
            if (waiting_ >= queue) {
                return refuse(503, "Service Unavailable");
            }
            ++waiting_;
            freed_.wait(lock,
                        [&] { return running_ < slots_ || life != life_; });
            --waiting_;
        }
        if (life != life_) {
            return false;
        }
        ++running_;
        ++runs_[request_id];
        const int work = work_ms_;
        lock.unlock();
        log_.line("run " + request_id + " at " + id_);
        sleep_ms(work);
        lock.lock();
        if (life != life_) {
            return false;
        }
        if (deadly && deadly(request)) {
            lock.unlock();
            log_.line("crash of " + id_ + " by " + request_id);
            crash();
            crashed(*this);
            return false;
        }
        --running_;
        freed_.notify_all();
        auto headers = load_headers();
        lock.unlock();
        headers.push_back("X-Request-Id: " + request_id);
        headers.push_back("X-Response-Stamp: stamp." + request_id);
        log_.line("end " + request_id + " at " + id_);
        auto text = response(200, "OK", headers, "done " + request_id);
        return send_all(fd, spoil ? spoil(std::move(text)) : text);
    }

    record& log_;
    std::string id_;
    std::string service_;
    unsigned slots_;
    std::atomic<int> work_ms_;
    std::atomic<std::int64_t> born_;
    std::uint64_t sequence_ = 0;
    unsigned life_ = 0; // counts crashes
    std::mutex mutex_;
    std::condition_variable freed_;
    unsigned running_ = 0;
    unsigned waiting_ = 0;
    std::map<std::string, unsigned> runs_;
    server server_;
};

// Keeps the registrations of backend servers in the store, as the servers do.
class registrar {
public:
    registrar(store& rows) : store_(rows) {
        thread_ = std::thread([this] {
            while (!stop_) {
                {
                    std::lock_guard lock(mutex_);
                    for (auto* item : servers_) {
                        store_.put("servers", item->id(), item->registration());
                    }
                }
                for (int i = 0; i < 15 && !stop_; ++i) {
                    sleep_ms(100);
                }
            }
        });
    }
    ~registrar() {
        stop_ = true;
        thread_.join();
    }
    void add(backend& item) {
        std::lock_guard lock(mutex_);
        servers_.insert(&item);
        store_.put("servers", item.id(), item.registration());
    }
    void stop_reporting(backend& item) {
        std::lock_guard lock(mutex_);
        servers_.erase(&item);
    }

private:
    store& store_;
    std::mutex mutex_;
    std::set<backend*> servers_;
    std::atomic<bool> stop_{false};
    std::thread thread_;
};

inline std::string read_file(const std::string& path) {
    std::ifstream in(path);
    std::stringstream out;
    out << in.rdbuf();
    return out.str();
}

inline std::uint16_t free_port() {
    static std::vector<int> reserved; // no other process gets the port
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0) {
        throw std::runtime_error("no free port");
    }
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    reserved.push_back(fd);
    return ntohs(address.sin_port);
}

// The processes that run, so that none is left if the script itself is ended.
inline constexpr std::size_t max_children = 64;
inline std::array<std::atomic<pid_t>, max_children> children;

inline void replace_child(pid_t from, pid_t to) {
    for (auto& item : children) {
        pid_t expected = from;
        if (item.compare_exchange_strong(expected, to)) {
            return;
        }
    }
}

inline void end_children(int) {
    for (auto& item : children) {
        if (const pid_t pid = item; pid > 0) {
            ::kill(pid, SIGKILL);
        }
    }
    _exit(exit_not_run);
}

// A router process, started with the command of the deploy file and settings
// made from its template.
class router {
public:
    router(std::string name, std::string folder)
        : name_(std::move(name)), folder_(std::move(folder)),
          callers_(free_port()), readiness_(free_port()), peers_(free_port()),
          metrics_(free_port()) {}
    ~router() { kill(); }
    router(const router&) = delete;
    router& operator=(const router&) = delete;

    const std::string& name() const { return name_; }
    std::uint16_t callers() const { return callers_; }
    std::uint16_t readiness() const { return readiness_; }
    std::string peers() const { return "127.0.0.1:" + std::to_string(peers_); }
    pid_t pid() const { return pid_; }

    void write_settings(const std::string& store_address,
                        const std::string& seeds, bool bootstrap,
                        double budget_slack = 56) {
        auto text = read_file("deploy/settings.ini.in");
        const std::map<std::string, std::string> values{
            {"{{zone}}", "a"},
            {"{{listen.front}}", "127.0.0.1:" + std::to_string(callers_)},
            {"{{listen.ready}}", "127.0.0.1:" + std::to_string(readiness_)},
            {"{{listen.control}}", peers()},
            {"{{ip}}:{{portRange.0}}", "127.0.0.1:" + std::to_string(metrics_)},
            {"{{bounds.graceS}}", "6"},
            {"{{platform.addr}}", store_address},
            {"{{#bootstrap}}1500{{/bootstrap}}{{^bootstrap}}30{{/bootstrap}}",
             bootstrap ? "1500" : "30"},
            {"{{bounds.configMs}}", "2000"},
            {"{{seedAddrs}}", seeds},
            {"{{bounds.budgetRatio}}", "0.2"},
            {"{{bounds.budgetSlack}}", std::to_string(budget_slack)},
            {"{{bounds.budgetWindowS}}", "10"},
            {"{{bounds.probesPerS}}", "60"}};
        for (const auto& [from, to] : values) {
            for (auto at = text.find(from); at != std::string::npos;
                 at = text.find(from, at + to.size())) {
                text.replace(at, from.size(), to);
            }
        }
        if (text.find("{{") != std::string::npos) {
            throw std::runtime_error("unknown field in deploy/settings.ini.in");
        }
        std::ofstream(settings()) << text;
    }

    std::string settings() const { return folder_ + "/" + name_ + ".ini"; }
    std::string log() const { return folder_ + "/" + name_ + ".log"; }

    void start() {
        const auto file = settings();
        const auto out = log();
        pid_ = fork();
        if (pid_ == 0) {
            const int fd =
                ::open(out.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(fd, 1);
            dup2(fd, 2);
            execl("target/platform/lacewingbeam-router", "lacewingbeam-router",
                  "--settings", file.c_str(), static_cast<char*>(nullptr));
            _exit(127);
        }
        replace_child(0, pid_);
        ended_.reset();
    }

    void signal(int number) const { ::kill(pid_, number); }

    // Returns how the process ended, if it has.
    std::optional<std::string> ended() {
        if (pid_ > 0 && !ended_) {
            int status = 0;
            if (waitpid(pid_, &status, WNOHANG) == pid_) {
                replace_child(pid_, 0);
                ended_ = WIFSIGNALED(status)
                             ? "signal " + std::to_string(WTERMSIG(status))
                             : "exit " + std::to_string(WEXITSTATUS(status));
            }
        }
        return ended_;
    }

    void kill() {
        if (pid_ > 0 && !ended()) {
            ::kill(pid_, SIGCONT);
            ::kill(pid_, SIGKILL);
            int status = 0;
            waitpid(pid_, &status, 0);
            replace_child(pid_, 0);
            ended_ = "killed by the script";
        }
    }

    bool is_ready() const {
        const int fd = connect_to(readiness_);
        if (fd < 0) {
            return false;
        }
        send_all(fd, "GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n");
        message_reader reader(fd);
        const auto answer = reader.read(500);
        close(fd);
        return answer && answer->status() == 200;
    }

private:
    std::string name_;
    std::string folder_;
    std::uint16_t callers_;
    std::uint16_t readiness_;
    std::uint16_t peers_;
    std::uint16_t metrics_;
    pid_t pid_ = -1;
    std::optional<std::string> ended_;
};

struct outcome {
    int status = 0;  // 0: no complete answer
    std::string how; // "answer", "closed", "timeout", "no connection"
    message answer;
};

// A client with one kept connection.
class client {
public:
    client(record& log, const router& to) : log_(log), to_(to) {}
    ~client() { drop(); }
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    bool connect() {
        drop();
        fd_ = connect_to(to_.callers());
        if (fd_ >= 0) {
            reader_ = std::make_unique<message_reader>(fd_);
        }
        return fd_ >= 0;
    }
    bool connected() const { return fd_ >= 0; }

    std::string extra_headers; // complete lines

    outcome request(const std::string& method, const std::string& target,
                    const std::string& id, int deadline_ms,
                    const std::string& body = {}) {
        outcome out;
        if (fd_ < 0 && !connect()) {
            out.how = "no connection";
            log_.line("client " + id + " no connection");
            return out;
        }
        std::string text = method + " " + target +
                           " HTTP/1.1\r\nHost: " + host +
                           "\r\nX-Request-Id: " + id +
                           "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) +
                           "\r\n" + extra_headers;
        if (method != "GET") {
            text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        }
        log_.line("send " + id + " " + method + " " + target + " to " +
                  to_.name());
        send_all(fd_, text + "\r\n" + body);
        auto answer = reader_->read(deadline_ms);
        if (answer) {
            out.how = "answer";
            out.status = answer->status();
            out.answer = std::move(*answer);
            log_.line("answer " + id + " " + std::to_string(out.status) + " " +
                      out.answer.header("Retry-After"));
            if (lower(out.answer.header("Connection")) == "close") {
                drop();
            }
            return out;
        }
        out.how = reader_->timed_out ? "timeout" : "closed";
        log_.line("client " + id + " got no answer: " + out.how);
        drop();
        return out;
    }

    void drop() {
        if (fd_ >= 0) {
            close(fd_);
        }
        fd_ = -1;
    }

private:
    record& log_;
    const router& to_;
    int fd_ = -1;
    std::unique_ptr<message_reader> reader_;
};

inline bool eventually(const std::function<bool()>& condition,
                       double seconds = 10) {
    const auto end = now_s() + seconds;
    while (now_s() < end) {
        if (condition()) {
            return true;
        }
        sleep_ms(20);
    }
    return condition();
}

// Ends the script's routers and its own process, whose threads may still wait
// for connections.
[[noreturn]] inline void finish(std::vector<std::unique_ptr<router>>& routers,
                                int status) {
    for (auto& item : routers) {
        item->kill();
    }
    std::fflush(stdout);
    std::_Exit(status);
}

// The routers of one installation, not started yet.
inline std::vector<std::unique_ptr<router>>
make_routers(int count, const std::string& folder) {
    std::vector<std::unique_ptr<router>> routers;
    for (int i = 0; i < count; ++i) {
        routers.push_back(
            std::make_unique<router>("router" + std::to_string(i), folder));
    }
    return routers;
}

// Writes a router's settings and starts it. `first_start` is true when the
// whole system starts for the first time.
inline void start(router& item,
                  const std::vector<std::unique_ptr<router>>& routers,
                  const store& rows, bool first_start) {
    constexpr std::size_t max_seeds = 3;
    std::string seeds;
    for (std::size_t i = 0; i < std::min(max_seeds, routers.size()); ++i) {
        seeds += (i == 0 ? "" : ",") + routers[i]->peers();
    }
    item.write_settings(rows.address(), seeds, first_start);
    item.start();
}

// Starts all routers and waits until they are ready. Ends the script if one
// does not become so.
inline void start_all(std::vector<std::unique_ptr<router>>& routers,
                      const store& rows, record& log) {
    for (auto& item : routers) {
        start(*item, routers, rows, true);
    }
    for (auto& item : routers) {
        if (!eventually([&] { return item->is_ready(); })) {
            log.note(item->name() + " did not become ready");
            finish(routers, exit_not_run);
        }
    }
}

// Callers that send one request after the other on kept connections. Counts
// what the rule LOST names: a request from a kept connection that was passed on
// to a sound server, and whose connection was then closed without an answer.
class kept_callers {
public:
    kept_callers(record& log, std::vector<backend*> servers)
        : log_(log), servers_(std::move(servers)) {}

    void start(const router& target, int count, const std::string& path) {
        for (int c = 0; c < count; ++c) {
            threads_.emplace_back([this, &target, path, c] {
                run(target, path,
                    "kept-" + target.name() + "-" + std::to_string(c) + "-");
            });
        }
    }

    void stop() {
        stop_ = true;
        for (auto& item : threads_) {
            item.join();
        }
        threads_.clear();
    }

    int answered() const { return answered_; }
    int lost() const { return lost_; }

private:
    void run(const router& target, const std::string& path,
             const std::string& name) {
        client caller(log_, target);
        bool kept = false; // the connection has had an answer
        for (int i = 0; !stop_; ++i) {
            const auto id = name + std::to_string(i);
            const bool was_kept = kept && caller.connected();
            const auto result = caller.request("GET", path, id, 2500);
            kept = result.how == "answer";
            answered_ += result.status == 200 ? 1 : 0;
            if (result.how == "closed" && was_kept && was_passed_on(id)) {
                ++lost_;
                log_.line("lost " + id +
                          ": it was passed on, and its connection was closed");
            }
            if (result.how == "no connection") {
                sleep_ms(100);
            }
        }
    }

    bool was_passed_on(const std::string& id) {
        return std::any_of(servers_.begin(), servers_.end(),
                           [&](backend* item) { return item->runs(id) > 0; });
    }

    record& log_;
    std::vector<backend*> servers_;
    std::vector<std::thread> threads_;
    std::atomic<bool> stop_{false};
    std::atomic<int> answered_{0};
    std::atomic<int> lost_{0};
};

// Arguments of a script's program: the folder for record.txt, and a temporary
// folder. The environment variable TROUBLE=0 leaves out the disruption.
struct arguments {
    std::string folder;
    std::string temporary;
    bool trouble = true;

    arguments(int argc, char** argv) {
        if (argc != 3) {
            std::fprintf(stderr, "usage: %s FOLDER TEMPORARY_FOLDER\n",
                         argv[0]);
            std::_Exit(exit_not_run);
        }
        folder = argv[1];
        temporary = argv[2];
        const char* text = std::getenv("TROUBLE");
        trouble = text == nullptr || std::string(text) != "0";
        std::signal(SIGPIPE, SIG_IGN);
        for (const int number : {SIGTERM, SIGINT, SIGHUP, SIGABRT}) {
            std::signal(number, end_children);
        }
    }
};

} // namespace testbed

#endif
