#include "json_server.hpp"

#include <algorithm>
#include <iostream>
#include <limits>
#include <tclap/CmdLine.h>

// Stand-in for the users' metadata store: rows with revisions, range reads,
// long polls for changes, and restores from a copy.
namespace {

using standin::json;
using standin::milliseconds;
using standin::request_ptr;
using steady = std::chrono::steady_clock;

constexpr int ok = 200;
constexpr int not_found = 404;
constexpr int gone = 410;
constexpr int condition_failed = 412;
constexpr std::size_t page_rows = 500;

struct stored_row {
    std::string value; // base64
    std::uint64_t revision = 0;
    bool deleted = false;
};

class store {
public:
    void handle(const request_ptr& request);

private:
    using table = std::map<std::string, stored_row>;

    struct pending_read {
        request_ptr request;
        std::string table;
        std::uint64_t after = 0;
    };

    void transact(const request_ptr& request);
    void get(const request_ptr& request);
    void feed(const request_ptr& request);
    void control(const request_ptr& request);
    json changes_since(const std::string& name, std::uint64_t after) const;
    void complete_pending_reads();
    void drop_pending_reads();
    void reply(const request_ptr& request, json body) const;

    struct contents {
        std::map<std::string, table> tables;
        std::uint64_t revision = 0;
    };

    contents data_;
    contents copy_;
    std::uint64_t era_ = 1; // rises with each restore from the copy
    std::uint64_t compacted_revision_ = 0; // older changes are not available
    int refuse_status_ = 0;
    std::uint64_t reads_ = 0;
    std::vector<std::shared_ptr<pending_read>> pending_reads_;
};

json row_json(const std::string& table, const std::string& key,
              const stored_row& row) {
    json out{{"tableName", table},
             {"part", ""},
             {"key", key},
             {"revision", row.revision}};
    if (row.deleted) {
        out["deleted"] = true;
    } else {
        out["value"] = row.value;
    }
    return out;
}

void store::handle(const request_ptr& request) {
    const auto path = request->path();
    request->add_header("Store-Era", std::to_string(era_));
    if (path == "/control") {
        control(request);
        return;
    }
    if (refuse_status_ != 0) {
        request->reply(refuse_status_, "");
    } else if (path == "/rows-tx") {
        transact(request);
    } else if (path == "/rows-get") {
        ++reads_;
        get(request);
    } else if (path == "/rows-feed") {
        ++reads_;
        feed(request);
    } else {
        request->reply(not_found, "");
    }
}

void store::reply(const request_ptr& request, json body) const {
    body["revision"] = data_.revision;
    body["nowMs"] = std::chrono::duration_cast<milliseconds>(
                        steady::now().time_since_epoch())
                        .count();
    request->reply_json(ok, body);
}

void store::transact(const request_ptr& request) {
    const auto body = request->body_json();
    for (const auto& row : body.value("expect", json::array())) {
        const auto& found = data_.tables[row.at("tableName")][row.at("key")];
        const auto current = found.deleted ? 0 : found.revision;
        if (current != row.at("revision").get<std::uint64_t>()) {
            request->reply_json(condition_failed, {{"rows", json::array()}});
            return;
        }
    }
    ++data_.revision;
    for (const auto& row : body.value("put", json::array())) {
        data_.tables[row.at("tableName")][row.at("key")] = {
            row.at("value"), data_.revision, false};
    }
    for (const auto& row : body.value("remove", json::array())) {
        data_.tables[row.at("tableName")][row.at("key")] = {"", data_.revision,
                                                            true};
    }
    reply(request, json::object());
    complete_pending_reads();
}

void store::get(const request_ptr& request) {
    const auto name = request->query("tableName");
    const auto from = request->query("from");
    json rows = json::array();
    bool more = false;
    const auto& table_rows = data_.tables[name];
    for (auto row = table_rows.lower_bound(from); row != table_rows.end();
         ++row) {
        if (row->second.deleted) {
            continue;
        }
        if (rows.size() == page_rows) {
            more = true;
            break;
        }
        rows.push_back(row_json(name, row->first, row->second));
    }
    reply(request, {{"rows", rows}, {"hasMore", more}});
}

json store::changes_since(const std::string& name, std::uint64_t after) const {
    std::map<std::uint64_t, json> rows_by_revision;
    const auto found = data_.tables.find(name);
    if (found != data_.tables.end()) {
        for (const auto& [key, row] : found->second) {
            if (row.revision > after) {
                rows_by_revision[row.revision] = row_json(name, key, row);
            }
        }
    }
    json rows = json::array();
    for (auto& [revision, row] : rows_by_revision) {
        rows.push_back(row);
    }
    return rows;
}

void store::feed(const request_ptr& request) {
    const auto name = request->query("tableName");
    const auto after = std::stoull(request->query("after"));
    const auto wait = std::stoll(request->query("waitMs"));
    if (after < compacted_revision_ || after > data_.revision) {
        request->reply(gone, "");
        return;
    }
    const auto rows = changes_since(name, after);
    if (!rows.empty() || wait == 0) {
        reply(request, {{"rows", rows}});
        return;
    }
    const auto pending =
        std::make_shared<pending_read>(pending_read{request, name, after});
    pending_reads_.push_back(pending);
    standin::run_after(milliseconds(wait), [this, pending] {
        if (std::erase(pending_reads_, pending) > 0) {
            reply(pending->request, {{"rows", json::array()}});
        }
    });
}

void store::complete_pending_reads() {
    std::erase_if(pending_reads_, [this](const auto& pending) {
        const auto rows = changes_since(pending->table, pending->after);
        if (!rows.empty()) {
            reply(pending->request, {{"rows", rows}});
        }
        return !rows.empty() || !pending->request->is_open();
    });
}

void store::drop_pending_reads() {
    for (const auto& pending : pending_reads_) {
        pending->request->close_connection();
    }
    pending_reads_.clear();
}

void store::control(const request_ptr& request) {
    const auto body = request->body_json();
    if (body.is_object()) {
        refuse_status_ = body.value("refuse_status", refuse_status_);
        if (body.value("forget_history", false)) {
            compacted_revision_ = data_.revision;
            drop_pending_reads();
        }
        if (body.value("copy", false)) {
            copy_ = data_;
        }
        if (body.value("restore", false)) {
            data_ = copy_;
            ++era_;
            drop_pending_reads();
        }
    }
    request->reply_json(ok, {{"reads", reads_}, {"revision", data_.revision}});
}

} // namespace

int main(int argc, char** argv) {
    try {
        TCLAP::CmdLine command("Stand-in for the users' metadata store", ' ',
                               "1");
        TCLAP::ValueArg<std::uint16_t> port("p", "port", "port; 0: any", false,
                                            0, "PORT", command);
        command.parse(argc, argv);
        store metadata_store;
        standin::run(standin::serve(
            port.getValue(), [&metadata_store](const request_ptr& request) {
                metadata_store.handle(request);
            }));
    } catch (const std::exception& problem) {
        std::cerr << problem.what() << std::endl;
        return 1;
    }
}
