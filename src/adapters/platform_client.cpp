#include "platform_client.hpp"

#include <event2/http.h>
#include <memory>
#include <nlohmann/json.hpp>

namespace lacewingbeam {

namespace {

using json = nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr std::size_t max_connections = 16;
constexpr std::size_t rows_per_page = 1000;
constexpr std::size_t max_response_bytes = 64U << 20U;

raw_row read_json_row(const json& value) {
    raw_row row;
    row.key = value.at("key").get<std::string>();
    row.version = value.at("version").get<std::uint64_t>();
    row.deleted = value.value("deleted", false);
    if (value.contains("cells")) {
        for (const auto& [name, text] : value.at("cells").items()) {
            row.cells.push_back({name, text.get<std::string>()});
        }
    }
    return row;
}

json write_json_cells(const raw_row& row) {
    auto cells = json::object();
    for (const auto& item : row.cells) {
        cells[item.name] = item.value;
    }
    return cells;
}

std::string percent_encode(const std::string& text) {
    char* escaped =
        evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0);
    std::string result(escaped);
    free(escaped);
    return result;
}

table_page read_page(const std::string& body) {
    const auto value = json::parse(body);
    table_page page;
    page.version = value.at("version").get<std::uint64_t>();
    page.more = value.value("more", false);
    for (const auto& item : value.at("rows")) {
        page.rows.push_back(read_json_row(item));
    }
    return page;
}

write_conflict read_conflict(const std::string& body) {
    const auto value = json::parse(body);
    write_conflict conflict;
    for (const auto& item : value.at("conflicts")) {
        conflict.existing.push_back(read_json_row(item.at("row")));
    }
    return conflict;
}

std::vector<listed_instance> read_instance_list(const std::string& body) {
    std::vector<listed_instance> list;
    const auto value = json::parse(body);
    for (const auto& item : value.at("instances")) {
        listed_instance entry;
        entry.address = item.at("address").get<std::string>();
        entry.is_peer = item.value("role", "") == "lacewingbeam";
        entry.leaving = item.value("state", "") == "leaving";
        list.push_back(std::move(entry));
    }
    return list;
}

// Accumulates one response and holds its timeout timer.
struct pending_response {
    int status = 0;
    std::string body;
    std::string problem;
    bool finished = false;
    scoped_event timer;
};

} // namespace

platform_client::platform_client(event_loop& loop, connection_pool& pool,
                                 std::string address, duration timeout)
    : loop_(loop), pool_(pool), address_(std::move(address)),
      timeout_(timeout) {}

void platform_client::request(
    evhttp_cmd_type method, const std::string& target, const std::string& body,
    const sigc::slot<void(const http_response&)>& done) {
    const auto pending = std::make_shared<pending_response>();
    const auto finish = [done](pending_response& response, int status,
                               const std::string& problem) {
        if (response.finished) {
            return;
        }
        response.finished = true;
        done(http_response{status, std::move(response.body), problem});
    };
    http_request outgoing;
    outgoing.method = method;
    outgoing.target = target;
    outgoing.body = body;
    if (!body.empty()) {
        outgoing.headers.push_back({"Content-Type", "application/json"});
    }
    exchange_events events;
    events.head = [pending](const http_response_head& head) {
        pending->status = head.status;
    };
    events.body = [pending](std::string_view piece) {
        if (pending->body.size() + piece.size() <= max_response_bytes) {
            pending->body += piece;
        } else {
            pending->status = 0; // too large: reported as incomplete
        }
    };
    events.end = [pending, finish] {
        pending->timer.reset();
        finish(*pending, pending->status, {});
    };
    events.failed = [pending, finish](const exchange_failure& failure) {
        pending->timer.reset();
        finish(*pending, 0,
               failure.bytes_sent
                   ? "connection failed before the response was complete"
                   : "connection failed");
    };
    const exchange_limits limits{max_connections, duration::max()};
    const auto id = pool_.start(address_, outgoing, limits, std::move(events));
    // The exchange's callbacks own the pending response and its timer, so the
    // timer holds only a weak reference.
    const std::weak_ptr<pending_response> weak = pending;
    pending->timer = loop_.every(timeout_, [this, id, weak, finish] {
        const auto expired = weak.lock();
        if (expired) {
            // Keeps the timer alive until its callback has returned.
            loop_.defer([expired] {});
            pool_.cancel(id);
            finish(*expired, 0, "request timed out");
        }
    });
}

void platform_client::read_rows(
    std::string_view table, std::uint64_t after_version,
    const sigc::slot<void(const std::optional<table_page>&)>& done) {
    const auto target = "/v1/tables/" + std::string(table) +
                        "/rows?after=" + std::to_string(after_version) +
                        "&limit=" + std::to_string(rows_per_page);
    request(EVHTTP_REQ_GET, target, {}, [done](const http_response& response) {
        std::optional<table_page> page;
        if (response.status == status_ok) {
            try {
                page = read_page(response.body);
            } catch (const json::exception&) {
                page.reset();
            }
        }
        done(page);
    });
}

void platform_client::read_row(
    std::string_view table, const std::string& key,
    const sigc::slot<void(const read_result&)>& done) {
    const auto target =
        "/v1/tables/" + std::string(table) + "/row?key=" + percent_encode(key);
    request(EVHTTP_REQ_GET, target, {}, [done](const http_response& response) {
        read_result result;
        result.problem = response.problem;
        try {
            if (response.status == status_ok) {
                result.row = read_json_row(json::parse(response.body));
                result.ok = true;
            }
            result.ok = result.ok || response.status == status_not_found;
        } catch (const json::exception& problem) {
            result.problem = problem.what();
        }
        done(result);
    });
}

void platform_client::write(const std::vector<row_write>& writes,
                            const sigc::slot<void(const write_result&)>& done) {
    auto list = json::array();
    for (const auto& item : writes) {
        json entry{{"table", item.table},
                   {"key", item.row.key},
                   {"deleted", item.row.deleted},
                   {"cells", write_json_cells(item.row)}};
        if (!item.unconditional) {
            entry["expected_version"] = item.row.version.revision;
        }
        list.push_back(std::move(entry));
    }
    const json body{{"writes", std::move(list)}};
    request(EVHTTP_REQ_POST, "/v1/transactions", body.dump(),
            [done](const http_response& response) {
                write_result result = write_unknown{
                    response.problem.empty()
                        ? "HTTP status " + std::to_string(response.status)
                        : response.problem};
                try {
                    if (response.status == status_ok) {
                        result = write_committed{
                            json::parse(response.body).at("version")};
                    } else if (response.status == status_conflict) {
                        result = read_conflict(response.body);
                    }
                } catch (const json::exception& problem) {
                    result = write_unknown{problem.what()};
                }
                done(result);
            });
}

void platform_client::read_instances(
    const sigc::slot<void(const std::optional<std::vector<listed_instance>>&)>&
        done) {
    request(EVHTTP_REQ_GET, "/v1/instances", {},
            [done](const http_response& response) {
                std::optional<std::vector<listed_instance>> list;
                if (response.status == status_ok) {
                    try {
                        list = read_instance_list(response.body);
                    } catch (const json::exception&) {
                        list.reset();
                    }
                }
                done(list);
            });
}

} // namespace lacewingbeam
