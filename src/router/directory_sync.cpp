#include "directory_sync.hpp"

#include "adapters/event_log.hpp"

namespace lacewingbeam {

namespace {

using std::chrono::milliseconds;

constexpr int status_ok = 200;
constexpr int status_gone = 410;

// Connections to the store: a read of each table, and one that is opened
// while another is given up.
constexpr std::size_t store_connections = 4;

constexpr std::size_t max_answer_bytes = 16U << 20U;

std::string_view table_name(store_table table) {
    return table == store_table::routing ? "routing" : "servers";
}

pool_options make_pool_options(duration request_timeout) {
    pool_options options;
    options.connect_timeout = request_timeout;
    options.stall_timeout = request_timeout;
    return options;
}

} // namespace

directory_sync::directory_sync(event_loop& loop,
                               const platform_binding& platform,
                               directory_follower& follower, peer_link& peers,
                               metrics& counts, sync_options options)
    : loop_(loop), platform_(platform), follower_(follower), peers_(peers),
      counts_(counts), options_(std::move(options)),
      pool_(loop, make_pool_options(options_.request_timeout)) {
    timer_ =
        loop.make_timer([this] { carry_out(follower_.on_tick(loop_.now())); });
    for (const auto table : {store_table::routing, store_table::servers}) {
        state_of(table).timeout = loop.make_timer([this, table] {
            pool_.cancel(state_of(table).exchange);
            on_failed(table, "no answer in time", store_failure::unreachable);
        });
    }
    peers_.received.connect(
        [this](const std::string& from, const peer_message& message) {
            carry_out(follower_.on_message(from, message, loop_.now()));
        });
}

directory_sync::read_state& directory_sync::state_of(store_table table) {
    return reads_[static_cast<std::size_t>(table)];
}

void directory_sync::start() {
    carry_out(follower_.on_tick(loop_.now()));
}

void directory_sync::begin_stop() {
    carry_out(follower_.begin_stop(loop_.now()));
}

void directory_sync::carry_out(const directory_follower::actions& actions) {
    for (const auto& item : actions) {
        std::visit([this](const auto& order) { run(order); }, item);
    }
    publish();
    log_reading();
    schedule();
}

void directory_sync::log_reading() {
    if (follower_.is_reading() == reading_) {
        return;
    }
    reading_ = follower_.is_reading();
    const auto now = loop_.now();
    log_event(
        reading_ ? event_number::reading_began : event_number::reading_ended,
        {{"rank", std::to_string(follower_.reader_rank(now))},
         {"peers", std::to_string(follower_.members().members(now).size())},
         {"age_ms", age_text(follower_.age(now))}});
}

void directory_sync::schedule() {
    event_loop::schedule(timer_, follower_.next_due() - loop_.now());
}

void directory_sync::publish() {
    const auto change = follower_.take_changes();
    for (const auto& problem : change.rejected) {
        log_event(event_number::table_row_rejected, {{"reason", problem}});
    }
    if (change.routing || !change.servers.empty()) {
        changed.emit(change);
    }
}

void directory_sync::run(const send_to_peer& order) {
    peers_.send(order.peer_address, order.message);
}

void directory_sync::run(const read_snapshot& order) {
    state_of(order.table).collected.reset();
    begin_read(order.table, platform_.snapshot_target(order, {}), true, {});
}

void directory_sync::run(const read_changes& order) {
    begin_read(order.table, platform_.changes_target(order), false, order.wait);
}

void directory_sync::begin_read(store_table table, const std::string& target,
                                bool snapshot, duration wait) {
    auto& read = state_of(table);
    read.snapshot = snapshot;
    read.body.clear();
    read.status = 0;
    http_request request;
    request.target = target;
    exchange_events events;
    events.head = [&read](const http_response_head& head) {
        read.status = head.status;
    };
    events.body = [&read](std::string_view piece) {
        if (read.body.size() + piece.size() <= max_answer_bytes) {
            read.body += piece;
        }
    };
    events.end = [this, table] {
        on_end(table);
    };
    events.failed = [this, table](const exchange_failure&) {
        on_failed(table, "connection failed", store_failure::unreachable);
    };
    event_loop::schedule(read.timeout, wait + options_.request_timeout);
    read.exchange =
        pool_.start(options_.store_address, request,
                    {store_connections, duration::max()}, std::move(events));
}

void directory_sync::on_end(store_table table) {
    auto& read = state_of(table);
    if (read.status == status_gone) {
        on_failed(table, "history is gone", store_failure::history_compacted);
        return;
    }
    if (read.status != status_ok) {
        on_failed(table, "status " + std::to_string(read.status),
                  store_failure::unreachable);
        return;
    }
    try {
        finish_page(table,
                    platform_.read_answer(table, read.snapshot, read.body));
    } catch (const store_format_error& problem) {
        on_failed(table, problem.what(), store_failure::unreachable);
    }
}

void directory_sync::finish_page(store_table table, store_answer answer) {
    auto& read = state_of(table);
    counts_.count_platform_request(table_name(table), true);
    for (const auto& problem : answer.problems) {
        log_event(event_number::table_row_rejected, {{"reason", problem}});
    }
    if (read.collected) {
        auto& rows = read.collected->page.rows;
        std::move(rows.begin(), rows.end(),
                  std::back_inserter(answer.page.rows));
        // What changed between two parts is read again as a change.
        answer.page.revision =
            std::min(answer.page.revision, read.collected->page.revision);
        read.collected.reset();
    }
    if (answer.continue_from) {
        const auto from = *answer.continue_from;
        read.collected = std::move(answer);
        begin_read(table, platform_.snapshot_target(read_snapshot{table}, from),
                   true, {});
        return;
    }
    event_loop::schedule(read.timeout, std::chrono::hours(24));
    if (read.failing) {
        read.failing = false;
        log_event(event_number::platform_recovered,
                  {{"table", std::string(table_name(table))},
                   {"revision", std::to_string(answer.page.revision)}});
    }
    carry_out(follower_.on_page(answer.page, loop_.now()));
}

void directory_sync::on_failed(store_table table, std::string_view reason,
                               store_failure failure) {
    auto& read = state_of(table);
    event_loop::schedule(read.timeout, std::chrono::hours(24));
    counts_.count_platform_request(table_name(table), false);
    if (!read.failing) {
        read.failing = true;
        log_event(event_number::platform_failed,
                  {{"table", std::string(table_name(table))},
                   {"reason", std::string(reason)},
                   {"age_ms", age_text(follower_.age(loop_.now()))}});
    }
    carry_out(follower_.on_failed(table, failure, loop_.now()));
}

} // namespace lacewingbeam
