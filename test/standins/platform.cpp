#include "json_server.hpp"

#include <deque>
#include <iostream>
#include <optional>
#include <tclap/CmdLine.h>
#include <vector>

// Stand-in for the platform: a transactional table service, an object store and
// an instance list, with faults set through /control. See docs/PLATFORM.md.
namespace {

using standin::json;
using standin::milliseconds;
using standin::request_ptr;
using steady = std::chrono::steady_clock;

constexpr int ok = 200;
constexpr int bad_request = 400;
constexpr int not_found = 404;
constexpr int conflict = 409;

struct row {
    std::uint64_t version = 0;
    bool deleted = false;
    json cells = json::object();
};

// The current rows of a table. Stale reads come from platform::history_.
struct table {
    std::uint64_t version = 0;
    std::map<std::string, row> rows;
};

struct fault_settings {
    bool down = false;      // closes the connection of every request
    int delay_ms = 0;       // delay before every response
    int lose_answers = 0;   // number of writes to commit without responding
    int lose_requests = 0;  // number of writes to discard without responding
    int stale_reads_ms = 0; // age of the state that reads return
    int list_lag_ms = 0;    // age of the instance list that is returned
};

struct instance_list {
    steady::time_point since;
    json instances;
};

struct counters {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t rows_written = 0;
};

class platform {
public:
    void handle(const request_ptr& request);

private:
    using tables = std::map<std::string, table>;

    struct snapshot {
        steady::time_point since;
        tables state;
    };

    void serve(const request_ptr& request);
    void control(const request_ptr& request);
    void run_transaction(const request_ptr& request);
    void read_rows(const request_ptr& request, const std::string& name);
    void read_row(const request_ptr& request, const std::string& name);
    void serve_object(const request_ptr& request, const std::string& name);
    void serve_instances(const request_ptr& request);
    const tables& tables_for_reads() const;
    json find_conflicts(const json& writes) const;
    std::uint64_t commit(const json& writes);
    void send_reply(const request_ptr& request, int status,
                    const json& body) const;

    tables tables_;
    std::deque<snapshot> history_;
    std::map<std::string, std::string> objects_;
    std::deque<instance_list> instance_lists_;
    fault_settings faults_;
    counters counters_;
};

json row_to_json(const std::string& key, const row& value) {
    return {{"key", key},
            {"version", value.version},
            {"deleted", value.deleted},
            {"cells", value.cells}};
}

void platform::send_reply(const request_ptr& request, int status,
                          const json& body) const {
    if (faults_.delay_ms == 0) {
        request->reply_json(status, body);
        return;
    }
    standin::run_after(milliseconds(faults_.delay_ms), [request, status, body] {
        request->reply_json(status, body);
    });
}

void platform::handle(const request_ptr& request) {
    if (request->path() == "/control") {
        control(request);
        return;
    }
    if (faults_.down) {
        request->close_connection();
        return;
    }
    try {
        serve(request);
    } catch (const json::exception& problem) {
        request->reply_json(bad_request, {{"title", problem.what()}});
    }
}

void platform::serve(const request_ptr& request) {
    const auto path = request->path();
    const std::string table_prefix = "/v1/tables/";
    const std::string object_prefix = "/v1/objects/";
    if (path == "/v1/transactions" && request->method() == "POST") {
        run_transaction(request);
    } else if (path == "/v1/instances") {
        serve_instances(request);
    } else if (path.starts_with(object_prefix)) {
        serve_object(request, path.substr(object_prefix.size()));
    } else if (path.starts_with(table_prefix)) {
        const auto rest = path.substr(table_prefix.size());
        const auto slash = rest.find('/');
        const auto name = rest.substr(0, slash);
        if (rest.substr(std::min(slash, rest.size())) == "/rows") {
            read_rows(request, name);
        } else {
            read_row(request, name);
        }
    } else {
        request->reply_json(not_found, {{"title", "unknown path"}});
    }
}

// Sets faults and the instance list. Responds with the counters.
void platform::control(const request_ptr& request) {
    if (request->method() == "POST") {
        const auto body = request->body_json();
        if (!body.is_object()) {
            request->reply_json(bad_request,
                                {{"title", "body is not a JSON object"}});
            return;
        }
        faults_.down = body.value("down", faults_.down);
        faults_.delay_ms = body.value("delay_ms", faults_.delay_ms);
        faults_.lose_answers = body.value("lose_answers", faults_.lose_answers);
        faults_.lose_requests =
            body.value("lose_requests", faults_.lose_requests);
        faults_.stale_reads_ms =
            body.value("stale_reads_ms", faults_.stale_reads_ms);
        faults_.list_lag_ms = body.value("list_lag_ms", faults_.list_lag_ms);
        if (body.contains("instances")) {
            instance_lists_.push_back({steady::now(), body["instances"]});
        }
    }
    request->reply_json(ok, {{"reads", counters_.reads},
                             {"writes", counters_.writes},
                             {"rows_written", counters_.rows_written}});
}

const platform::tables& platform::tables_for_reads() const {
    const auto read_time = steady::now() - milliseconds(faults_.stale_reads_ms);
    if (faults_.stale_reads_ms == 0 || history_.empty()) {
        return tables_;
    }
    const snapshot* latest = &history_.front();
    for (const auto& item : history_) {
        if (item.since <= read_time) {
            latest = &item;
        }
    }
    return latest->state;
}

void platform::read_rows(const request_ptr& request, const std::string& name) {
    ++counters_.reads;
    const auto after_text = request->query("after");
    const auto after = after_text.empty() ? 0 : std::stoull(after_text);
    const auto limit_text = request->query("limit");
    const auto limit = limit_text.empty() ? SIZE_MAX : std::stoull(limit_text);
    std::uint64_t version = 0;
    std::map<std::uint64_t, json> newer; // keyed by version
    const auto found = tables_for_reads().find(name);
    if (found != tables_for_reads().end()) {
        version = found->second.version;
        for (const auto& [key, value] : found->second.rows) {
            if (value.version > after) {
                newer.emplace(value.version, row_to_json(key, value));
            }
        }
    }
    json rows = json::array();
    const bool more = newer.size() > limit;
    for (auto& [row_version, row] : newer) {
        if (rows.size() >= limit) {
            break;
        }
        rows.push_back(std::move(row));
        version = more ? row_version : version;
    }
    send_reply(
        request, ok,
        {{"version", version}, {"more", more}, {"rows", std::move(rows)}});
}

void platform::read_row(const request_ptr& request, const std::string& name) {
    ++counters_.reads;
    const auto key = request->query("key");
    const auto& state = tables_for_reads();
    const auto found = state.find(name);
    if (found == state.end() || !found->second.rows.contains(key)) {
        send_reply(request, not_found, {{"title", "no such row"}});
        return;
    }
    send_reply(request, ok, row_to_json(key, found->second.rows.at(key)));
}

// A write without an expected version is unconditional.
json platform::find_conflicts(const json& writes) const {
    json conflicts = json::array();
    for (const auto& item : writes) {
        if (!item.contains("expected_version")) {
            continue;
        }
        const std::string name = item.at("table");
        const std::string key = item.at("key");
        const auto found = tables_.find(name);
        row current;
        if (found != tables_.end() && found->second.rows.contains(key)) {
            current = found->second.rows.at(key);
        }
        const std::uint64_t expected_version = item.at("expected_version");
        const auto current_version =
            expected_version == 0 && current.deleted ? 0 : current.version;
        if (current_version != expected_version) {
            conflicts.push_back(
                {{"table", name}, {"row", row_to_json(key, current)}});
        }
    }
    return conflicts;
}

std::uint64_t platform::commit(const json& writes) {
    std::uint64_t last_version = 0;
    for (const auto& item : writes) {
        auto& target = tables_[item.at("table").get<std::string>()];
        auto& changed = target.rows[item.at("key").get<std::string>()];
        changed.version = ++target.version;
        changed.deleted = item.value("deleted", false);
        changed.cells = item.value("cells", json::object());
        last_version = target.version;
        ++counters_.rows_written;
    }
    constexpr std::size_t max_snapshots = 50;
    if (faults_.stale_reads_ms > 0) {
        history_.push_back({steady::now(), tables_});
        if (history_.size() > max_snapshots) {
            history_.pop_front();
        }
    } else {
        history_.assign(1, {steady::now(), tables_});
    }
    return last_version;
}

void platform::run_transaction(const request_ptr& request) {
    ++counters_.writes;
    const auto body = request->body_json();
    const auto& writes = body.at("writes");
    if (faults_.lose_requests > 0) {
        --faults_.lose_requests;
        return; // destroying the request closes the connection
    }
    auto conflicts = find_conflicts(writes);
    if (!conflicts.empty()) {
        send_reply(request, conflict, {{"conflicts", std::move(conflicts)}});
        return;
    }
    const auto version = commit(writes);
    if (faults_.lose_answers > 0) {
        --faults_.lose_answers;
        request->close_connection();
        return;
    }
    send_reply(request, ok, {{"version", version}});
}

void platform::serve_object(const request_ptr& request,
                            const std::string& name) {
    if (request->method() == "PUT") {
        ++counters_.writes;
        objects_[name] = request->body();
        send_reply(request, ok, {{"name", name}});
        return;
    }
    ++counters_.reads;
    const auto found = objects_.find(name);
    if (found == objects_.end()) {
        send_reply(request, not_found, {{"title", "no such object"}});
        return;
    }
    request->reply(ok, found->second);
}

void platform::serve_instances(const request_ptr& request) {
    ++counters_.reads;
    const auto read_time = steady::now() - milliseconds(faults_.list_lag_ms);
    json listed = json::array();
    for (const auto& item : instance_lists_) {
        if (item.since <= read_time) {
            listed = item.instances;
        }
    }
    send_reply(request, ok, {{"instances", std::move(listed)}});
}

} // namespace

int main(int argc, char** argv) {
    try {
        TCLAP::CmdLine command("Stand-in for the platform", ' ', "1");
        TCLAP::ValueArg<std::uint16_t> port("p", "port", "port; 0: any", false,
                                            0, "PORT", command);
        command.parse(argc, argv);
        platform state;
        const auto bound =
            standin::serve(port.getValue(), [&](const request_ptr& request) {
                state.handle(request);
            });
        standin::run(bound);
    } catch (const std::exception& problem) {
        std::cerr << problem.what() << std::endl;
        return 1;
    }
}
