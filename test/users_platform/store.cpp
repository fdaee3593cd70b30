#include "json_server.hpp"

#include <algorithm>
#include <iostream>
#include <limits>
#include <tclap/CmdLine.h>

// Stands in for the users' metadata store: rows with revisions, reads of a
// range, and reads that wait for changes.
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

    struct waiting_read {
        request_ptr request;
        std::string table;
        std::uint64_t after = 0;
    };

    void transact(const request_ptr& request);
    void get(const request_ptr& request);
    void feed(const request_ptr& request);
    void control(const request_ptr& request);
    json changes(const std::string& name, std::uint64_t after) const;
    void answer_waiting();
    void reply(const request_ptr& request, json body) const;

    std::map<std::string, table> tables_;
    std::uint64_t revision_ = 0;
    std::uint64_t forgotten_ = 0; // changes up to it are no longer kept
    int refuse_status_ = 0;
    std::uint64_t reads_ = 0;
    std::vector<std::shared_ptr<waiting_read>> waiting_;
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
    body["revision"] = revision_;
    body["nowMs"] = std::chrono::duration_cast<milliseconds>(
                        steady::now().time_since_epoch())
                        .count();
    request->reply_json(ok, body);
}

void store::transact(const request_ptr& request) {
    const auto body = request->body_json();
    for (const auto& row : body.value("expect", json::array())) {
        const auto& found = tables_[row.at("tableName")][row.at("key")];
        const auto present = found.deleted ? 0 : found.revision;
        if (present != row.at("revision").get<std::uint64_t>()) {
            request->reply_json(condition_failed, {{"rows", json::array()}});
            return;
        }
    }
    ++revision_;
    for (const auto& row : body.value("put", json::array())) {
        tables_[row.at("tableName")][row.at("key")] = {row.at("value"),
                                                       revision_, false};
    }
    for (const auto& row : body.value("remove", json::array())) {
        tables_[row.at("tableName")][row.at("key")] = {"", revision_, true};
    }
    reply(request, json::object());
    answer_waiting();
}

void store::get(const request_ptr& request) {
    const auto name = request->query("tableName");
    const auto from = request->query("from");
    json rows = json::array();
    bool more = false;
    const auto& rows_of = tables_[name];
    for (auto row = rows_of.lower_bound(from); row != rows_of.end(); ++row) {
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

json store::changes(const std::string& name, std::uint64_t after) const {
    std::map<std::uint64_t, json> in_order;
    const auto found = tables_.find(name);
    if (found != tables_.end()) {
        for (const auto& [key, row] : found->second) {
            if (row.revision > after) {
                in_order[row.revision] = row_json(name, key, row);
            }
        }
    }
    json rows = json::array();
    for (auto& [revision, row] : in_order) {
        rows.push_back(row);
    }
    return rows;
}

void store::feed(const request_ptr& request) {
    const auto name = request->query("tableName");
    const auto after = std::stoull(request->query("after"));
    const auto wait = std::stoll(request->query("waitMs"));
    if (after < forgotten_) {
        request->reply(gone, "");
        return;
    }
    const auto rows = changes(name, after);
    if (!rows.empty() || wait == 0) {
        reply(request, {{"rows", rows}});
        return;
    }
    const auto kept =
        std::make_shared<waiting_read>(waiting_read{request, name, after});
    waiting_.push_back(kept);
    standin::run_after(milliseconds(wait), [this, kept] {
        if (std::erase(waiting_, kept) > 0) {
            reply(kept->request, {{"rows", json::array()}});
        }
    });
}

void store::answer_waiting() {
    std::erase_if(waiting_, [this](const auto& kept) {
        const auto rows = changes(kept->table, kept->after);
        if (!rows.empty()) {
            reply(kept->request, {{"rows", rows}});
        }
        return !rows.empty() || !kept->request->is_open();
    });
}

void store::control(const request_ptr& request) {
    const auto body = request->body_json();
    if (body.is_object()) {
        refuse_status_ = body.value("refuse_status", refuse_status_);
        if (body.value("forget_history", false)) {
            forgotten_ = revision_;
            for (const auto& kept : waiting_) {
                kept->request->close_connection();
            }
            waiting_.clear();
        }
    }
    request->reply_json(ok, {{"reads", reads_}, {"revision", revision_}});
}

} // namespace

int main(int argc, char** argv) {
    try {
        TCLAP::CmdLine command("Stand-in for the users' metadata store", ' ',
                               "1");
        TCLAP::ValueArg<std::uint16_t> port("p", "port", "port; 0: any", false,
                                            0, "PORT", command);
        command.parse(argc, argv);
        store rows;
        standin::run(standin::serve(
            port.getValue(),
            [&rows](const request_ptr& request) { rows.handle(request); }));
    } catch (const std::exception& problem) {
        std::cerr << problem.what() << std::endl;
        return 1;
    }
}
