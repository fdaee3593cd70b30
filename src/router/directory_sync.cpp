#include "directory_sync.hpp"

#include "adapters/event_log.hpp"
#include "lacewingbeam/number.hpp"

#include <boost/algorithm/string/join.hpp>

namespace lacewingbeam {

namespace {

using std::chrono::milliseconds;

constexpr int status_ok = 200;
constexpr int status_gone = 410;

// Connections to the store: one for the read of each table, and one to replace
// each while the connection of a failed read is being closed.
constexpr std::size_t store_connections = 4;

constexpr std::size_t max_response_bytes = 16U << 20U;

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
                               metrics& registry, sync_options options)
    : loop_(loop), platform_(platform), follower_(follower), peers_(peers),
      metrics_(registry), options_(std::move(options)),
      pool_(loop, make_pool_options(options_.request_timeout)) {
    timer_ = loop.make_timer(
        [this] { execute_all(follower_.on_tick(loop_.now())); });
    for (const auto table : {store_table::routing, store_table::servers}) {
        state_of(table).timeout = loop.make_timer([this, table] {
            pool_.cancel(state_of(table).exchange);
            on_read_failed(table, "request timed out",
                           store_failure::unreachable);
        });
    }
    peers_.received.connect(
        [this](const std::string& from, const peer_message& message) {
            execute_all(follower_.on_message(from, message, loop_.now()));
        });
}

directory_sync::read_state& directory_sync::state_of(store_table table) {
    return reads_[static_cast<std::size_t>(table)];
}

void directory_sync::start() {
    execute_all(follower_.on_tick(loop_.now()));
}

void directory_sync::begin_stop() {
    execute_all(follower_.begin_stop(loop_.now()));
}

void directory_sync::execute_all(const directory_follower::actions& actions) {
    for (const auto& item : actions) {
        std::visit([this](const auto& action) { execute(action); }, item);
    }
    log_era_change();
    publish_changes();
    log_reader_change();
    schedule();
    confirmed.emit();
}

void directory_sync::log_reader_change() {
    if (follower_.is_reading() == is_reader_) {
        return;
    }
    is_reader_ = follower_.is_reading();
    const auto now = loop_.now();
    log_event(
        is_reader_ ? event_number::reading_began : event_number::reading_ended,
        {{"rank", std::to_string(follower_.reader_rank(now))},
         {"peers", std::to_string(follower_.members().members(now).size())},
         {"age_ms", age_text(follower_.age(now))}});
}

void directory_sync::log_era_change() {
    if (follower_.era() != era_) {
        if (era_ != 0) {
            log_event(event_number::store_restored,
                      {{"era", std::to_string(follower_.era())},
                       {"previous_era", std::to_string(era_)},
                       {"routes_age_ms",
                        age_text(follower_.routes_age(loop_.now()))}});
        }
        era_ = follower_.era();
        logged_store_routes_ = 0;
        metrics_.set_gauge("store_era", static_cast<double>(era_));
    }
    const auto store_routes = follower_.outdated_store_routes();
    if (store_routes != std::exchange(logged_store_routes_, store_routes) &&
        store_routes != 0) {
        log_event(
            event_number::older_rows_ignored,
            {{"table", std::string(table_name(store_table::routing))},
             {"era", std::to_string(era_)},
             {"version", std::to_string(store_routes)},
             {"held", std::to_string(follower_.view().routes_version())}});
    }
}

void directory_sync::schedule() {
    event_loop::schedule(timer_, follower_.next_due() - loop_.now());
}

void directory_sync::publish_changes() {
    const auto change = follower_.take_changes();
    for (const auto& problem : change.rejected) {
        log_event(event_number::table_row_rejected, {{"reason", problem}});
    }
    if (!change.kept.empty()) {
        log_event(event_number::older_rows_ignored,
                  {{"table", std::string(table_name(store_table::servers))},
                   {"era", std::to_string(era_)},
                   {"rows", boost::algorithm::join(change.kept, ",")}});
    }
    if (change.routing || !change.servers.empty()) {
        changed.emit(change);
    }
}

void directory_sync::execute(const send_to_peer& action) {
    peers_.send(action.peer_address, action.message);
}

void directory_sync::execute(const read_snapshot& action) {
    state_of(action.table).earlier_pages.reset();
    start_read(action.table, platform_.snapshot_target(action, {}), true, {});
}

void directory_sync::execute(const read_changes& action) {
    start_read(action.table, platform_.changes_target(action), false,
               action.wait);
}

void directory_sync::start_read(store_table table, const std::string& target,
                                bool snapshot, duration wait) {
    auto& read = state_of(table);
    read.snapshot = snapshot;
    read.body.clear();
    read.status = 0;
    read.era.reset();
    http_request request;
    request.target = target;
    exchange_events events;
    events.head = [this, &read](const http_response_head& head) {
        read.status = head.status;
        read.era = read_era(head);
    };
    events.body = [&read](std::string_view chunk) {
        if (read.body.size() + chunk.size() <= max_response_bytes) {
            read.body += chunk;
        }
    };
    events.end = [this, table] {
        on_read_end(table);
    };
    events.failed = [this, table](const exchange_failure&) {
        on_read_failed(table, "connection failed", store_failure::unreachable);
    };
    event_loop::schedule(read.timeout, wait + options_.request_timeout);
    read.exchange =
        pool_.start(options_.store_address, request,
                    {store_connections, duration::max()}, std::move(events));
}

// Returns the era that a response states, or nullopt if it states none.
std::optional<std::uint64_t>
directory_sync::read_era(const http_response_head& head) const {
    const auto text = find_header(head.headers, platform_.headers.store_era);
    const auto era = text ? to_number<std::uint64_t>(*text) : std::nullopt;
    if (text && !era) {
        log_event(event_number::table_row_rejected,
                  {{"reason", "era \"" + std::string(*text) +
                                  "\" of the store is not a number"}});
    }
    return era;
}

void directory_sync::on_read_end(store_table table) {
    auto& read = state_of(table);
    follower_.on_era(read.era.value_or(0), loop_.now());
    if (read.status == status_ok && !read.era && follower_.era() != 0) {
        on_read_failed(table, "the response states no era of the store",
                       store_failure::unreachable);
        return;
    }
    if (read.status == status_ok && read.era.value_or(0) < follower_.era()) {
        on_read_failed(table, "the response is of an earlier era of the store",
                       store_failure::unreachable);
        return;
    }
    if (read.status == status_gone) {
        on_read_failed(table, "history is no longer available",
                       store_failure::history_compacted);
        return;
    }
    if (read.status != status_ok) {
        on_read_failed(table, "status " + std::to_string(read.status),
                       store_failure::unreachable);
        return;
    }
    try {
        process_page(table,
                     platform_.parse_response(table, read.snapshot,
                                              read.era.value_or(0), read.body));
    } catch (const store_format_error& problem) {
        on_read_failed(table, problem.what(), store_failure::unreachable);
    }
}

void directory_sync::process_page(store_table table, store_response response) {
    auto& read = state_of(table);
    metrics_.count_platform_request(table_name(table), true);
    for (const auto& problem : response.row_errors) {
        log_event(event_number::table_row_rejected, {{"reason", problem}});
    }
    if (read.earlier_pages && read.earlier_pages->page.answered_at.era !=
                                  response.page.answered_at.era) {
        // The store was restored between the pages of this snapshot.
        execute(read_snapshot{table});
        return;
    }
    if (read.earlier_pages) {
        auto& rows = read.earlier_pages->page.rows;
        std::move(rows.begin(), rows.end(),
                  std::back_inserter(response.page.rows));
        // The lowest revision is used, so that rows changed while the pages
        // were read are read again as changes.
        response.page.revision =
            std::min(response.page.revision, read.earlier_pages->page.revision);
        response.page.answered_at = read.earlier_pages->page.answered_at;
        read.earlier_pages.reset();
    }
    if (response.continue_from) {
        const auto from = *response.continue_from;
        read.earlier_pages = std::move(response);
        start_read(table, platform_.snapshot_target(read_snapshot{table}, from),
                   true, {});
        return;
    }
    // The read has ended. The delay is too long for the timer to fire before
    // the next read sets it again.
    event_loop::schedule(read.timeout, std::chrono::hours(24));
    if (read.failing) {
        read.failing = false;
        log_event(event_number::platform_recovered,
                  {{"table", std::string(table_name(table))},
                   {"revision", std::to_string(response.page.revision)}});
    }
    execute_all(follower_.on_page(response.page, loop_.now()));
}

void directory_sync::on_read_failed(store_table table, std::string_view reason,
                                    store_failure failure) {
    auto& read = state_of(table);
    // The read has ended. The delay is too long for the timer to fire before
    // the next read sets it again.
    event_loop::schedule(read.timeout, std::chrono::hours(24));
    metrics_.count_platform_request(table_name(table), false);
    if (!read.failing) {
        read.failing = true;
        log_event(event_number::platform_failed,
                  {{"table", std::string(table_name(table))},
                   {"reason", std::string(reason)},
                   {"age_ms", age_text(follower_.age(loop_.now()))}});
    }
    execute_all(follower_.on_failed(table, failure, loop_.now()));
}

} // namespace lacewingbeam
