#include "lacewingbeam/directory_follower.hpp"

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <utility>

// How instances tell each other of what was read from the store.
namespace lacewingbeam {

namespace {

using std::chrono::milliseconds;

constexpr duration request_pause = milliseconds(300);

// Up to so many peers are told by the reader itself.
constexpr std::size_t told_directly = 24;

// What fits a datagram is told on with the message.
constexpr std::size_t most_relayed_bytes = 900;

// Readers remembered; all are instances that live.
constexpr std::size_t most_origins = 4096;

constexpr std::size_t most_page_rows = 4000;

// Larger rows are read from the store by everyone, one read each: told by
// peers, they would fill the thinnest links (10 Mbit/s) for most of the time
// in which an edit must be in force, and cross between failure domains.
constexpr std::size_t most_told_bytes = 100000;

// These reads are spread over this time.
constexpr duration own_read_spread = milliseconds(150);

// An instance that could not read the store asks its peers this long instead.
constexpr duration failure_memory = milliseconds(3000);

std::size_t size_of(const table_rows& message) {
    std::size_t size = 0;
    for (const auto& row : message.rows) {
        size += size_of(row);
    }
    for (const auto& delta : message.deltas) {
        size += size_of(delta);
    }
    return size;
}

// Takes out rows that are too large to be told.
void leave_out_large(table_rows& message) {
    std::erase_if(message.rows, [&](const raw_row& row) {
        const auto size = size_of(row);
        message.omitted_bytes += size > most_told_bytes ? size : 0;
        return size > most_told_bytes;
    });
}

} // namespace

// The routes change in a few cells; who holds the version before needs no
// more. Deltas for the rows, not applied yet, for which that is less.
std::vector<row_delta>
directory_follower::find_deltas(std::span<const raw_row> rows) const {
    std::vector<row_delta> deltas;
    for (const auto& row : rows) {
        const auto* held = directory_.find_row(row.key);
        if (row.key != routing_row_key || held == nullptr || held->deleted) {
            continue;
        }
        auto delta = find_delta(*held, row);
        if (2 * size_of(delta) < size_of(row)) {
            deltas.push_back(std::move(delta));
        }
    }
    return deltas;
}

// Rows for which there is a delta are told by it.
void directory_follower::tell_peers(std::vector<raw_row> rows,
                                    std::vector<row_delta> deltas,
                                    time_point now, actions& out) {
    table_rows message;
    message.age = own_read_at() ? now - *own_read_at() : duration::max() / 2;
    std::erase_if(rows, [&](const raw_row& row) {
        return std::any_of(
            deltas.begin(), deltas.end(),
            [&](const row_delta& delta) { return delta.key == row.key; });
    });
    message.rows = std::move(rows);
    message.deltas = std::move(deltas);
    leave_out_large(message);
    message.digest = directory_.digest();
    message.origin = options_.own.id;
    message.request_number = ++told_;
    message.table_version = complete_ = own_revision();
    pass_on(std::move(message), now, out);
}

// Every change up to it was read.
std::uint64_t directory_follower::own_revision() const {
    std::uint64_t revision = complete_;
    if (tables_[0].position && tables_[1].position) {
        revision = std::max(
            revision, std::min(*tables_[0].position, *tables_[1].position));
    }
    return revision;
}

// Tells on to a few others, or to all while they are few.
void directory_follower::pass_on(table_rows rows, time_point now,
                                 actions& out) {
    const auto targets = draw_peers(*rows.origin, now);
    const bool relayed = *rows.origin != options_.own.id;
    if (relayed && size_of(rows) > most_relayed_bytes) {
        rows.rows.clear(); // who lacks them asks for them
        rows.deltas.clear();
    }
    for (const auto& address : targets) {
        out.emplace_back(send_to_peer{address, rows});
    }
}

// Random peers: with fan_out of them for each instance, all but one in some
// hundred hear of a read, and that one of the next.
std::vector<std::string>
directory_follower::draw_peers(const incarnation& origin, time_point now) {
    std::vector<std::string> addresses;
    for (const auto& peer : members_.members(now)) {
        if (peer.state != member_state::suspected && peer.id != origin) {
            addresses.push_back(peer.peer_address);
        }
    }
    const bool own = origin == options_.own.id;
    if (addresses.size() <= told_directly) {
        return own ? addresses : std::vector<std::string>{};
    }
    const auto count = std::min(addresses.size(),
                                own ? 2 * options_.fan_out : options_.fan_out);
    for (std::size_t i = 0; i < count; ++i) {
        boost::random::uniform_int_distribution<std::size_t> draw(
            i, addresses.size() - 1);
        std::swap(addresses[i], addresses[draw(engine_)]);
    }
    addresses.resize(count);
    return addresses;
}

directory_follower::actions
directory_follower::on_message(const std::string& from,
                               const peer_message& message, time_point now) {
    actions out;
    if (const auto* beat = std::get_if<heartbeat>(&message)) {
        const bool known = members_.find(beat->sender.id, now).has_value();
        members_.on_heartbeat(beat->sender, beat->sequence, now);
        members_.on_hearsay(beat->members, now);
        if (!known && now - started_at_ < acquaintance) {
            next_heartbeat_ = now; // answer those who know nobody yet
        }
    } else if (const auto* rows = std::get_if<table_rows>(&message)) {
        on_rows(from, *rows, now, out);
    } else {
        const auto& request = std::get<table_request>(message);
        table_rows answer;
        answer.age = own_read_at() ? now - *own_read_at() : duration::max() / 2;
        answer.rows = directory_.rows_after(request.have_version);
        if (!request.include_large_rows) {
            leave_out_large(answer);
        }
        answer.digest = directory_.digest();
        answer.table_version = complete_;
        if (directory_.routing() == nullptr) {
            return out; // knows nothing yet
        }
        out.emplace_back(send_to_peer{from, std::move(answer)});
    }
    return out;
}

void directory_follower::on_rows(const std::string& from,
                                 const table_rows& rows, time_point now,
                                 actions& out) {
    if (rows.rows.size() > most_page_rows) {
        changes_.rejected.push_back("table message from " + from + " with " +
                                    std::to_string(rows.rows.size()) +
                                    " rows was dropped");
        return;
    }
    const bool news = is_news(rows);
    learn(rows, now);
    if (rows.age > options_.reading.silence) {
        return; // the sender is behind
    }
    if (rows.digest == directory_.digest()) {
        settle(rows, rows.age, now, out);
        if (news) {
            pass_on(rows, now, out);
        }
        return;
    }
    const bool reads_itself = rows.omitted_bytes > 0 && may_read_now(now);
    if (reads_itself) {
        plan_own_read(now);
    }
    if (!news) {
        return;
    }
    unsettled_ = {rows, from, now};
    if (reads_itself) {
        pass_on(rows, now, out); // the others read it themselves, too
    } else if (now >= next_request_) {
        ask_for_rows(from, rows, now, out);
    }
}

// Takes what a peer told.
void directory_follower::learn(const table_rows& rows, time_point now) {
    apply(rows.rows, now);
    for (const auto& row : rows.rows) {
        held_.erase(row.key);
    }
    for (const auto& delta : rows.deltas) {
        const auto* held = directory_.find_row(delta.key);
        if (held != nullptr && held->version == delta.base_version) {
            const std::vector<raw_row> made{apply_delta(*held, delta)};
            apply(made, now);
        }
    }
}

// True unless a read of the routes failed lately.
bool directory_follower::may_read_now(time_point now) const {
    const auto& routing = state_of(store_table::routing);
    return !routing.failed_at || now - *routing.failed_at > failure_memory;
}

void directory_follower::plan_own_read(time_point now) {
    if (reading_ || own_read_due_) {
        return;
    }
    boost::random::uniform_int_distribution<duration::rep> spread(
        0, own_read_spread.count());
    own_read_due_ = now + duration(spread(engine_));
}

// True for the first copy of what an origin tells.
bool directory_follower::is_news(const table_rows& rows) {
    if (!rows.origin || *rows.origin == options_.own.id) {
        return false;
    }
    auto& last = heard_[*rows.origin];
    const bool news = rows.request_number > last;
    last = std::max(last, rows.request_number);
    if (heard_.size() > most_origins) {
        heard_.clear();
    }
    return news;
}

// What is held is what the sender holds.
void directory_follower::settle(const table_rows& rows, duration age,
                                time_point now, actions& out) {
    told_at_ = std::max(told_at_.value_or(time_point{}), now - age);
    complete_ = std::max(complete_, rows.table_version);
    const bool waits = unsettled_ && unsettled_->rows.omitted_bytes == 0;
    if (waits && unsettled_->rows.digest == directory_.digest()) {
        pass_on(unsettled_->rows, now, out);
    }
    unsettled_.reset();
}

// A message was lost on the way: asks the instance that told us, and the
// origin every other time, as the one between may lack the same.
void directory_follower::ask_for_rows(const std::string& from,
                                      const table_rows& rows, time_point now,
                                      actions& out) {
    const bool whole = !may_read_now(now);
    next_request_ = now + (whole ? whole_request_pause : request_pause);
    ++request_number_;
    const auto origin = members_.find(*rows.origin, now);
    const bool ask_origin = origin && request_number_ % 2 == 0;
    // A change that was held back has a lower revision than what came since.
    const auto have = request_number_ % 3 == 0 ? 0 : complete_;
    out.emplace_back(send_to_peer{ask_origin ? origin->peer_address : from,
                                  table_request{have, request_number_, whole}});
}

} // namespace lacewingbeam
