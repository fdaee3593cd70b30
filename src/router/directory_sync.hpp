#ifndef LACEWINGBEAM_ROUTER_DIRECTORY_SYNC_HPP
#define LACEWINGBEAM_ROUTER_DIRECTORY_SYNC_HPP

#include "adapters/connection_pool.hpp"
#include "adapters/event_loop.hpp"
#include "adapters/metrics.hpp"
#include "adapters/peer_link.hpp"
#include "lacewingbeam/directory_follower.hpp"
#include "platform_binding.hpp"

#include <array>
#include <optional>
#include <string>
#include <utility>

// Performs the I/O of the directory follower: reads from the store, and
// messages to and from peers.
namespace lacewingbeam {

struct sync_options {
    std::string store_address;
    duration request_timeout = std::chrono::milliseconds(600);
};

class directory_sync {
public:
    directory_sync(event_loop& loop, const platform_binding& platform,
                   directory_follower& follower, peer_link& peers,
                   metrics& registry, sync_options options);

    void start();
    void begin_stop();

    // Takes effect with the next read.
    void reconfigure(sync_options options) { options_ = std::move(options); }

    // Emitted after routes or backend servers changed.
    sigc::signal<void(const directory::change&)> changed;

    // Emitted when routes or backend servers may have been confirmed or
    // changed.
    sigc::signal<void()> confirmed;

private:
    struct read_state {
        bool snapshot = false;
        std::string body;
        int status = 0;
        std::optional<std::uint64_t> era; // of the store, in the response
        exchange_id exchange{};
        std::optional<store_response> earlier_pages; // of the same snapshot
        bool failing = false;
        scoped_event timeout;
    };

    void execute_all(const directory_follower::actions& actions);
    void execute(const read_snapshot& action);
    void execute(const read_changes& action);
    void execute(const send_to_peer& action);
    void start_read(store_table table, const std::string& target, bool snapshot,
                    duration wait);
    void on_read_end(store_table table);
    void on_read_failed(store_table table, std::string_view reason,
                        store_failure failure);
    void process_page(store_table table, store_response response);
    void publish_changes();
    void log_reader_change();
    void log_era_change();
    std::optional<std::uint64_t> read_era(const http_response_head& head) const;
    void schedule();
    read_state& state_of(store_table table);

    event_loop& loop_;
    const platform_binding& platform_;
    directory_follower& follower_;
    peer_link& peers_;
    metrics& metrics_;
    sync_options options_;
    connection_pool pool_;
    std::array<read_state, store_table_count> reads_;
    scoped_event timer_;
    bool is_reader_ = false;
    std::uint64_t era_ = 0;                 // last logged
    std::uint64_t logged_store_routes_ = 0; // older than the routes held
};

} // namespace lacewingbeam

#endif
