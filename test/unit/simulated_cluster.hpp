#ifndef LACEWINGBEAM_TEST_SIMULATED_CLUSTER_HPP
#define LACEWINGBEAM_TEST_SIMULATED_CLUSTER_HPP

#include "lacewingbeam/directory_follower.hpp"
#include "lacewingbeam/row_delta.hpp"

#include <algorithm>
#include <boost/random/bernoulli_distribution.hpp>
#include <map>
#include <memory>
#include <optional>

// Many instances that follow a directory, with a store and links between them.
namespace lacewingbeam::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline const time_point start{seconds(100)};
inline constexpr duration link_delay = milliseconds(1);

// The slowest links in large installations: 10 Mbit/s.
inline constexpr double bytes_per_us = 1.25;

inline std::size_t size_of(const peer_message& message) {
    std::size_t size = 100;
    if (const auto* update = std::get_if<table_rows>(&message)) {
        for (const auto& row : update->rows) {
            size += size_of(row);
        }
        for (const auto& change : update->deltas) {
            size += size_of(change);
        }
    }
    return size;
}

inline std::string address_of(std::size_t number) {
    return "127.0.0.1:" + std::to_string(1000 + number);
}

// Simulates the store, which holds one backend server, and instances that read
// it.
class simulated_cluster {
public:
    simulated_cluster(std::size_t count, double loss,
                      duration seed_patience = milliseconds(1500))
        : loss_rate_(loss), seed_patience_(seed_patience), engine_(5),
          now(start) {
        for (std::size_t i = 0; i < count; ++i) {
            nodes_.push_back(make_node(i));
        }
        alive.assign(count, true);
        paused_.assign(count, false);
        sides_.assign(count, 0);
        link_free_at_.assign(count, now);
    }

    const directory_follower& follower(std::size_t node) const {
        return *nodes_[node];
    }

    void run_until(time_point end) {
        for (; now < end; now += milliseconds(1)) {
            deliver();
            for (std::size_t i = 0; i < nodes_.size(); ++i) {
                if (alive[i] && !paused_[i] && nodes_[i]->next_due() <= now) {
                    execute(i, nodes_[i]->on_tick(now));
                }
            }
        }
    }

    // Counts the live instances with the newest routes.
    std::size_t count_with_newest_routes() const {
        std::size_t count = 0;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            const auto* routes = nodes_[i]->view().routing();
            count += alive[i] && routes != nullptr &&
                             routes->version == std::to_string(edits_)
                         ? 1
                         : 0;
        }
        return count;
    }

    std::size_t count_with_server() const {
        std::size_t count = 0;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            count +=
                alive[i] && !nodes_[i]->view().available("svc").empty() ? 1 : 0;
        }
        return count;
    }

    std::size_t count_readers() const {
        std::size_t count = 0;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            count += alive[i] && nodes_[i]->is_reading() ? 1 : 0;
        }
        return count;
    }

    void restart(std::size_t node) {
        nodes_[node] = make_node(node);
        alive[node] = true;
        paused_[node] = false;
        std::erase_if(answers_,
                      [&](const answer& item) { return item.to == node; });
    }

    // Makes an instance take this long to process routes read from the store.
    void slow_down(std::size_t node, duration processing_time) {
        slow_node_ = node;
        processing_time_ = processing_time;
    }

    std::size_t first_reader() const {
        std::size_t i = 0;
        while (i < nodes_.size() && !nodes_[i]->is_reading()) {
            ++i;
        }
        return i;
    }

    // Counts the instances, except the slow one, whose routes were replaced
    // more than `limit` ago.
    std::size_t count_with_outdated_routes(duration limit) const {
        std::size_t count = 0;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            count += has_outdated_routes(i, limit) ? 1 : 0;
        }
        return count;
    }

    // As above, counting only those that still decide requests.
    std::size_t count_deciding_by_outdated_routes(duration limit) const {
        std::size_t count = 0;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            const bool decides = nodes_[i]->view().routes_valid_at(now);
            count += decides && has_outdated_routes(i, limit) ? 1 : 0;
        }
        return count;
    }

    // Delays all messages between instances.
    void congest(duration delay) { congestion_delay_ = delay; }

    void kill_readers() {
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            alive[i] = alive[i] && !nodes_[i]->is_reading();
        }
    }

    // Publishes the next version of the routes, with `count` routes.
    void edit_routes(std::size_t count) {
        ++edits_;
        edited_at_[edits_] = now;
        write_routes(edits_, count);
    }

    // Saves a copy of the store's rows, to which restore_store() returns.
    void copy_store() { copy_ = store_; }

    // The store loses all changes since the copy, and assigns their revisions
    // again.
    void restore_store() {
        store_ = copy_;
        ++store_.era;
    }

    // The store's era goes back, which a working store never does.
    void break_era() { store_.era = 0; }

    // As above, from a copy taken before the server registered.
    void restore_without_server() {
        restore_store();
        store_.server_registered = false;
    }

    // The operators and the server write their last changes again.
    void write_again() {
        write_routes(edits_, store_.routes);
        store_.server_leaving = server_leaving_;
        store_.server_changed_at = ++store_.revision;
    }

    // A paused instance does nothing. What reaches it meanwhile is processed
    // when it resumes.
    void set_paused(std::size_t node, bool paused) { paused_[node] = paused; }

    // Instances exchange messages only with those on the same side.
    void split(std::vector<unsigned> sides) { sides_ = std::move(sides); }
    void heal() { sides_.assign(nodes_.size(), 0); }

    // Neither sends nor receives messages or responses.
    void cut_off(std::size_t node) { cut_off_ = node; }
    void reconnect() { cut_off_ = nodes_.size(); }

    bool serves_newest_routes(std::size_t node) const {
        const auto& view = nodes_[node]->view();
        return view.routes_valid_at(now) &&
               view.routing()->version == std::to_string(edits_);
    }

    bool knows_server(std::size_t node) const {
        return !nodes_[node]->view().available("svc").empty();
    }

    // Counts the instances that decide by other routes than the newest.
    std::size_t count_deciding_by_other_routes() const {
        std::size_t count = 0;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            const auto& view = nodes_[i]->view();
            count += alive[i] && view.routes_valid_at(now) &&
                             !serves_newest_routes(i)
                         ? 1
                         : 0;
        }
        return count;
    }

    std::size_t store_reads() const { return store_reads_; }

    // Counts the routes that peers sent to each other as a whole.
    std::size_t whole_rows_sent() const { return whole_rows_sent_; }
    std::size_t whole_rows_to_other_domains() const {
        return whole_rows_to_other_domains_;
    }

    // Makes the store serve only instances with an index below `first`.
    void refuse_from(std::size_t first) { refused_from_ = first; }

    void drain_server() {
        server_leaving_ = store_.server_leaving = true;
        store_.server_changed_at = ++store_.revision;
    }

private:
    struct store_rows {
        std::uint64_t era = 1;
        std::uint64_t revision = 10;
        std::uint64_t routes_changed_at = 1;
        std::size_t routes = 30;
        unsigned edit = 1; // version of the routes
        std::uint64_t server_changed_at = 5;
        bool server_leaving = false;
        bool server_registered = true;
    };

    void write_routes(unsigned edit, std::size_t count) {
        store_.edit = edit;
        store_.routes = count;
        store_.routes_changed_at = ++store_.revision;
        for (auto& item : answers_) {
            if (item.table == store_table::routing && !item.page) {
                item.at = now + link_delay; // ends the long poll
            }
        }
    }

    bool has_outdated_routes(std::size_t node, duration limit) const {
        const auto* routes = nodes_[node]->view().routing();
        if (routes == nullptr || node == slow_node_ || !alive[node]) {
            return false;
        }
        const auto next = edited_at_.upper_bound(std::stoul(routes->version));
        return next != edited_at_.end() && next->second + limit < now;
    }

    std::unique_ptr<directory_follower> make_node(std::size_t number) const {
        follower_options options;
        random_engine seed(number + 1 +
                           static_cast<std::uint64_t>((now - start).count()));
        options.own.id = draw_incarnation(seed);
        options.own.peer_address = address_of(number);
        options.own.caller_address = options.own.peer_address;
        options.own.admin_address = options.own.peer_address;
        options.own.failure_domain = std::to_string(number % 3);
        options.seed = number + 1;
        options.seed_patience = seed_patience_;
        auto node = std::make_unique<directory_follower>(options, now);
        const std::vector<std::string> seeds{address_of(0), address_of(1),
                                             address_of(2)};
        node->set_seeds(seeds);
        return node;
    }

    struct message {
        time_point at;
        std::size_t from = 0;
        std::size_t to = 0;
        peer_message content;
    };
    struct answer {
        time_point at;
        std::size_t to = 0;
        store_table table{};
        bool snapshot = false;
        std::uint64_t after = 0;
        std::optional<store_page> page = {}; // received and not processed yet
    };

    routing_table make_routes() const {
        routing_table table;
        table.version = std::to_string(store_.edit);
        for (std::size_t i = 0; i < store_.routes; ++i) {
            route item;
            item.name = "r" + std::to_string(i);
            item.host = "h" + std::to_string(i) + ".example";
            item.prefix = "/p/";
            // An edit changes the first route only.
            item.max_attempts = i == 0 ? store_.edit : 2;
            item.services = {{"svc", 1}};
            item.time_limit = seconds(2);
            item.objective = milliseconds(300);
            table.routes.push_back(item);
        }
        return table;
    }

    // Returns when a transfer of that size over the node's link ends.
    time_point link_transfer_end(std::size_t node, std::size_t bytes) {
        auto& free = link_free_at_[node];
        const auto time = static_cast<duration::rep>(
            static_cast<double>(bytes) / bytes_per_us);
        free = std::max(free, now) + duration(time);
        return free;
    }

    // Returns when the store's response, sent over the reader's link, arrives.
    time_point store_read_end(std::size_t node, store_table table,
                              bool snapshot, std::uint64_t after) {
        ++store_reads_;
        std::size_t bytes = 0;
        for (const auto& row : make_page(table, snapshot, after).rows) {
            bytes += size_of(row);
        }
        return link_transfer_end(node, bytes) + link_delay;
    }

    store_page make_page(store_table table, bool snapshot,
                         std::uint64_t after) const {
        store_page page{table,
                        snapshot,
                        store_.revision,
                        {},
                        store_time(now.time_since_epoch(), store_.era)};
        if (table == store_table::routing) {
            if (snapshot || after < store_.routes_changed_at) {
                page.rows.push_back(make_row(make_routes(), store_.edit));
            }
        } else if (store_.server_registered &&
                   (snapshot || after < store_.server_changed_at)) {
            registered_server server;
            server.id = "s";
            server.service = "svc";
            server.address = "127.0.0.1:80";
            server.leaving = store_.server_leaving;
            page.rows.push_back(make_row(server, store_.server_changed_at));
        }
        return page;
    }

    void execute(std::size_t node, const read_snapshot& action) {
        answers_.push_back({store_read_end(node, action.table, true, 0), node,
                            action.table, true, 0});
    }
    void execute(std::size_t node, const read_changes& action) {
        const bool changed = action.table == store_table::routing &&
                             action.after < store_.routes_changed_at;
        const auto wait = changed ? duration::zero() : action.wait;
        answers_.push_back(
            {store_read_end(node, action.table, false, action.after) + wait,
             node, action.table, false, action.after});
    }
    void execute(std::size_t node, const send_to_peer& action) {
        const auto to = std::stoul(action.peer_address.substr(
                            action.peer_address.find(':') + 1)) -
                        1000;
        if (boost::random::bernoulli_distribution<double>(loss_rate_)(
                engine_) ||
            node == cut_off_ || to == cut_off_ || sides_[node] != sides_[to]) {
            return;
        }
        if (const auto* rows = std::get_if<table_rows>(&action.message)) {
            const bool whole = std::any_of(
                rows->rows.begin(), rows->rows.end(),
                [](const raw_row& row) { return row.key == routing_row_key; });
            whole_rows_sent_ += whole ? 1 : 0;
            whole_rows_to_other_domains_ += whole && node % 3 != to % 3 ? 1 : 0;
        }
        messages_.push_back({link_transfer_end(node, size_of(action.message)) +
                                 link_delay + congestion_delay_,
                             node, to, action.message});
    }

    void execute(std::size_t node, const directory_follower::actions& actions) {
        for (const auto& item : actions) {
            std::visit([&](const auto& action) { execute(node, action); },
                       item);
        }
    }

    void deliver() {
        std::vector<message> due_messages;
        std::erase_if(messages_, [&](const message& item) {
            const bool due = item.at <= now && !paused_[item.to];
            if (due) {
                due_messages.push_back(item);
            }
            return due;
        });
        for (const auto& item : due_messages) {
            if (alive[item.to]) {
                execute(item.to, nodes_[item.to]->on_message(
                                     address_of(item.from), item.content, now));
            }
        }
        std::vector<answer> due_answers;
        for (auto& item : answers_) {
            if (item.at <= now && item.to == slow_node_ && !item.page &&
                item.table == store_table::routing) {
                item.page = make_page(item.table, item.snapshot, item.after);
                item.at = now + processing_time_;
            }
        }
        std::erase_if(answers_, [&](const answer& item) {
            const bool due = item.at <= now && !paused_[item.to];
            if (due) {
                due_answers.push_back(item);
            }
            return due;
        });
        for (const auto& item : due_answers) {
            const bool cut_off = item.to == cut_off_;
            if (alive[item.to] && (cut_off || item.to >= refused_from_)) {
                execute(item.to,
                        nodes_[item.to]->on_failed(
                            item.table, store_failure::unreachable, now));
            } else if (alive[item.to] && item.after > store_.revision) {
                nodes_[item.to]->on_era(store_.era, now);
                execute(item.to,
                        nodes_[item.to]->on_failed(
                            item.table, store_failure::history_compacted, now));
            } else if (alive[item.to]) {
                const auto page =
                    item.page
                        ? *item.page
                        : make_page(item.table, item.snapshot, item.after);
                execute(item.to, nodes_[item.to]->on_page(page, now));
            }
        }
    }

    double loss_rate_;
    duration seed_patience_;
    random_engine engine_;
    std::vector<std::unique_ptr<directory_follower>> nodes_;
    std::vector<message> messages_;
    std::vector<answer> answers_;
    std::vector<time_point> link_free_at_;
    std::vector<bool> paused_;
    std::vector<unsigned> sides_;
    store_rows store_;
    store_rows copy_;
    unsigned edits_ = 1; // the operators' last
    bool server_leaving_ = false;
    std::size_t cut_off_ = 1000;
    std::size_t store_reads_ = 0;
    std::size_t whole_rows_sent_ = 0;
    std::size_t whole_rows_to_other_domains_ = 0;
    std::size_t refused_from_ = 1000;
    std::map<std::size_t, time_point> edited_at_; // by version
    std::size_t slow_node_ = 1000;
    duration processing_time_{};
    duration congestion_delay_{};

public:
    std::vector<bool> alive;
    time_point now;
};

} // namespace lacewingbeam::test

#endif
