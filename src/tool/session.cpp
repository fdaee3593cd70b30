#include "session.hpp"

#include <map>

namespace lacewingbeam {

namespace {

constexpr duration request_timeout = std::chrono::seconds(3);

pool_options make_options() {
    pool_options options;
    options.connect_timeout = std::chrono::seconds(1);
    return options;
}

} // namespace

tool_session::tool_session(const std::string& platform)
    : pool_(loop_, make_options()) {
    if (!platform.empty()) {
        platform_.emplace(loop_, pool_, platform, request_timeout);
    }
}

platform_client& tool_session::platform() {
    if (!platform_) {
        throw error("--platform IP:port is required");
    }
    return *platform_;
}

void tool_session::wait() {
    loop_.run();
}

std::vector<raw_row> tool_session::read_table() {
    std::map<std::string, raw_row> by_key;
    std::uint64_t version = 0;
    for (bool more = true; more;) {
        auto page = read_page(version);
        for (auto& row : page.rows) {
            by_key.insert_or_assign(row.key, std::move(row));
        }
        version = page.version;
        more = page.more;
    }
    std::vector<raw_row> rows;
    for (auto& [key, row] : by_key) {
        if (!row.deleted) {
            rows.push_back(std::move(row));
        }
    }
    return rows;
}

table_page tool_session::read_page(std::uint64_t after_version) {
    std::optional<table_page> page;
    platform().read_rows(services_table, after_version,
                         [&](const std::optional<table_page>& received) {
                             page = received;
                             loop_.stop();
                         });
    wait();
    if (!page) {
        throw unreachable_error("platform did not answer; nothing was changed");
    }
    return std::move(*page);
}

std::optional<raw_row> tool_session::read_row(std::string_view table,
                                              const std::string& key) {
    read_result result;
    platform().read_row(table, key, [&](const read_result& received) {
        result = received;
        loop_.stop();
    });
    wait();
    if (!result.ok) {
        throw unreachable_error("platform did not answer");
    }
    return result.row;
}

write_result tool_session::write(const std::vector<row_write>& writes) {
    write_result result = write_unknown{};
    platform().write(writes, [&](const write_result& received) {
        result = received;
        loop_.stop();
    });
    wait();
    return result;
}

std::vector<listed_instance> tool_session::read_instances() {
    std::optional<std::vector<listed_instance>> list;
    platform().read_instances(
        [&](const std::optional<std::vector<listed_instance>>& received) {
            list = received;
            loop_.stop();
        });
    wait();
    if (!list) {
        throw unreachable_error("platform did not answer");
    }
    return *list;
}

http_result tool_session::get(const std::string& address,
                              const std::string& target) {
    http_result result;
    int status = 0;
    exchange_events events;
    events.head = [&](const http_response_head& head) {
        status = head.status;
    };
    events.body = [&](std::string_view piece) {
        result.body += piece;
    };
    events.end = [&] {
        result.status = status;
        loop_.stop();
    };
    events.failed = [&](const exchange_failure&) {
        loop_.stop();
    };
    http_request request;
    request.target = target;
    const auto id = pool_.start(address, request, {}, std::move(events));
    const auto timer = loop_.every(request_timeout, [&] {
        pool_.cancel(id);
        loop_.stop();
    });
    wait();
    return result;
}

void tool_session::sleep(duration time) {
    const auto timer = loop_.every(time, [this] { loop_.stop(); });
    wait();
}

} // namespace lacewingbeam
