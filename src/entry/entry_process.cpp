#include "entry_process.hpp"

#include "../adapters/event_log.hpp"
#include "adapters/header_names.hpp"
#include "lacewingbeam/endpoint.hpp"
#include "load_report.hpp"

#include <boost/algorithm/string.hpp>
#include <csignal>
#include <fstream>
#include <random>
#include <sstream>

namespace lacewingbeam {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration tick_interval = milliseconds(2);
constexpr duration change_log_interval = milliseconds(250);
constexpr std::size_t min_key_bytes = 16;
constexpr std::size_t max_probe_body_bytes = 4096;
constexpr std::string_view load_report_path = "/load";
constexpr std::size_t max_probe_connections = 64;

// Bounds what the kernel receives of a response that a slow caller holds up.
constexpr int server_receive_buffer_bytes = 256 << 10;

std::uint64_t generate_seed() {
    std::random_device device;
    constexpr unsigned word_bits = 32;
    return (std::uint64_t{device()} << word_bits) | device();
}

std::string read_key_file(const std::string& path) {
    if (path.empty()) {
        throw error("[peers] key_file must be set: the key authenticates "
                    "peers' messages and tickets");
    }
    std::ifstream file(path);
    std::ostringstream content;
    content << file.rdbuf();
    auto key = content.str();
    boost::algorithm::trim(key);
    if (!file || key.size() < min_key_bytes) {
        throw error("key file " + path + " must contain a key of at least " +
                    std::to_string(min_key_bytes) + " bytes");
    }
    return key;
}

std::vector<std::string> split_seeds(const std::string& text) {
    std::vector<std::string> seeds;
    if (!text.empty()) {
        boost::algorithm::split(seeds, text, [](char c) { return c == ','; });
    }
    for (auto& seed : seeds) {
        boost::algorithm::trim(seed);
    }
    return seeds;
}

pool_options make_pool_options(const settings::entry_settings& values,
                               memory_budget& memory) {
    pool_options options;
    options.memory = &memory;
    options.receive_buffer_bytes = server_receive_buffer_bytes;
    options.connect_timeout = milliseconds(values.backend.connect_timeout);
    options.stall_timeout = milliseconds(values.backend.stall_timeout);
    options.idle_timeout = milliseconds(values.backend.idle_timeout);
    return options;
}

listener_limits make_listener_limits(const settings::entry_settings& values) {
    listener_limits limits;
    limits.max_header_bytes =
        static_cast<std::size_t>(values.limits.max_header_bytes);
    limits.max_body_bytes =
        static_cast<std::size_t>(values.limits.max_body_bytes);
    limits.idle_timeout = seconds(values.limits.idle_caller_timeout);
    limits.max_connections =
        static_cast<std::size_t>(values.limits.max_connections);
    return limits;
}

gateway_options make_gateway_options(const settings::entry_settings& values,
                                     const std::string& key) {
    gateway_options options;
    options.key = key;
    options.max_buffered_answer =
        static_cast<std::size_t>(values.limits.max_buffered_answer);
    options.max_recorded_answer =
        static_cast<std::size_t>(values.limits.max_recorded_answer);
    options.proven_alive = milliseconds(values.backend.proven_alive);
    return options;
}

coordinator_options
make_coordinator_options(const settings::entry_settings& values,
                         const std::string& key, std::uint64_t seed) {
    coordinator_options options;
    options.dispatch.policy = parse_policy(values.backend.policy);
    options.dispatch.retry_percent = values.backend.retry_percent;
    options.dispatch.hedge_percent = values.backend.hedge_percent;
    options.dispatch.failure_domain = values.instance.failure_domain;
    options.members.suspect_after = milliseconds(values.peers.suspect_after);
    options.members.gone_after = milliseconds(values.peers.gone_after);
    options.members.heartbeat_interval =
        milliseconds(values.peers.heartbeat_interval);
    options.members.fan_out = static_cast<std::size_t>(values.peers.fan_out);
    options.ledger.operations =
        static_cast<std::size_t>(values.limits.max_operations);
    options.key = key;
    options.ticket_lifetime = seconds(values.tickets.lifetime);
    options.retention = seconds(values.tickets.retention);
    options.heartbeat_interval = milliseconds(values.peers.heartbeat_interval);
    options.writes_per_second = values.platform.writes_per_second;
    options.max_calls = static_cast<std::size_t>(values.limits.max_calls);
    options.seed = seed;
    random_engine engine(seed);
    options.own.id = draw_incarnation(engine);
    options.own.failure_domain = values.instance.failure_domain;
    return options;
}

} // namespace

entry_process::entry_process(const settings::entry_settings& values)
    : settings_(values), key_(read_key_file(values.peers.key_file)),
      memory_(bytes_of_megabytes(values.limits.memory_limit)),
      pool_(loop_, make_pool_options(values, memory_)),
      caller_listener_(loop_, memory_, values.instance.address,
                       static_cast<std::uint16_t>(values.instance.caller_port),
                       make_listener_limits(values)),
      admin_listener_(loop_, memory_, values.instance.address,
                      static_cast<std::uint16_t>(values.instance.admin_port),
                      make_listener_limits(values)),
      peer_link_(loop_, memory_, values.instance.address,
                 static_cast<std::uint16_t>(values.instance.peer_port), key_),
      traces_(generate_seed(), static_cast<unsigned>(values.log.trace_sample)) {
    const auto& ip = values.instance.address;
    auto options = make_coordinator_options(values, key_, generate_seed());
    options.own.peer_address = to_string(endpoint{ip, peer_link_.port()});
    options.own.caller_address =
        to_string(endpoint{ip, caller_listener_.port()});
    options.own.admin_address = to_string(endpoint{ip, admin_listener_.port()});
    coordinator_.emplace(std::move(options), loop_.now());
    coordinator_->set_seeds(split_seeds(values.peers.seeds));
    platform_.emplace(loop_, pool_, values.platform.address,
                      milliseconds(values.platform.request_timeout));
    gateway_.emplace(loop_, pool_, *coordinator_, metrics_, traces_, memory_,
                     make_gateway_options(values, key_));
    platform_sync_.emplace(loop_, *platform_, *coordinator_, metrics_,
                           milliseconds(values.platform.poll_interval));
    admin_api_.emplace(loop_, *coordinator_, metrics_, traces_, peer_link_);
    const auto on_actions = [this](coordinator::actions& actions) {
        execute_actions(actions);
    };
    gateway_->actions_ready.connect(on_actions);
    platform_sync_->actions_ready.connect(on_actions);
    caller_listener_.request.connect(
        [this](const std::shared_ptr<incoming_request>& incoming) {
            gateway_->on_request(incoming);
        });
    caller_listener_.set_refusal(make_no_memory_refusal());
    admin_listener_.request.connect(
        [this](const std::shared_ptr<incoming_request>& incoming) {
            admin_api_->on_request(incoming);
        });
    peer_link_.received.connect(
        [this](const std::string& from, const peer_message& message) {
            auto actions = coordinator_->on_message(from, message, loop_.now());
            execute_actions(actions);
        });
    peer_link_.dropped.connect(
        [](const std::string& from, const std::string& reason) {
            log_event(event_number::peer_message_dropped,
                      {{"from", from}, {"reason", reason}});
        });
}

std::string entry_process::ports_line() const {
    const auto& own = coordinator_->own();
    return "listening caller=" + own.caller_address +
           " admin=" + own.admin_address + " peer=" + own.peer_address;
}

void entry_process::run() {
    std::signal(SIGPIPE, SIG_IGN);
    tick_timer_ = loop_.every(tick_interval, [this] { tick(); });
    change_log_timer_ = loop_.every(change_log_interval, [this] {
        log_peer_changes();
        log_table_confirmation();
    });
    term_signal_ = loop_.on_signal(SIGTERM, [this] { begin_stop(); });
    int_signal_ = loop_.on_signal(SIGINT, [this] { begin_stop(); });
    const auto& own = coordinator_->own();
    log_event(event_number::started, {{"incarnation", to_string(own.id)},
                                      {"caller", own.caller_address},
                                      {"admin", own.admin_address},
                                      {"peer", own.peer_address}});
    loop_.run();
    log_event(event_number::stopped, {});
}

void entry_process::begin_stop() {
    log_event(event_number::stopping, {});
    coordinator_->begin_stop(loop_.now());
    pool_.disable_keep_alive();
}

void entry_process::tick() {
    auto actions = coordinator_->on_tick(loop_.now());
    execute_actions(actions);
    if (coordinator_->may_exit(loop_.now()) && gateway_->calls() == 0) {
        loop_.stop();
    }
}

void entry_process::execute_actions(coordinator::actions& actions) {
    struct action_executor {
        entry_process& self;

        void operator()(const start_attempt& command) const {
            self.gateway_->execute(command);
        }
        void operator()(const cancel_attempt& command) const {
            self.gateway_->execute(command);
        }
        void operator()(const deliver_answer& command) const {
            self.gateway_->execute(command);
        }
        void operator()(const finish_call& command) const {
            self.gateway_->execute(command);
        }
        void operator()(const forward_call& command) const {
            self.gateway_->execute(command);
        }
        void operator()(const replay_answer& command) const {
            self.gateway_->execute(command);
        }
        void operator()(const write_claims& command) const {
            self.platform_sync_->execute(command);
        }
        void operator()(const read_claim& command) const {
            self.platform_sync_->execute(command);
        }
        void operator()(const write_journal& command) const {
            self.platform_sync_->execute(command);
        }
        void operator()(const read_journal& command) const {
            self.platform_sync_->execute(command);
        }
        void operator()(const probe_server& command) const {
            self.execute(command);
        }
        void operator()(const send_message& command) const {
            self.execute(command);
        }
    };
    for (const auto& item : actions) {
        std::visit(action_executor{*this}, item);
    }
}

void entry_process::execute(const send_message& command) {
    peer_link_.send(command.peer_address, command.message);
}

void entry_process::execute(const probe_server& command) {
    metrics_.count_probe(command.server.service);
    send_probe(command.server, command.address);
}

void entry_process::send_probe(const server_key& server,
                               const std::string& address) {
    struct probe_answer {
        int status = 0;
        bool draining = false;
        std::string body;
    };
    const auto answer = std::make_shared<probe_answer>();
    http_request request;
    request.target = load_report_path;
    exchange_events events;
    events.head = [answer](const http_response_head& head) {
        answer->status = head.status;
        answer->draining =
            find_header(head.headers, header::draining).has_value();
    };
    events.body = [answer](std::string_view piece) {
        if (answer->body.size() + piece.size() <= max_probe_body_bytes) {
            answer->body += piece;
        }
    };
    events.end = [this, server, answer] {
        on_probe_response(server, answer->status, answer->draining,
                          answer->body);
    };
    events.failed = [this, server](const exchange_failure&) {
        coordinator_->on_probe_failed(server, loop_.now());
    };
    pool_.start(address, request, {max_probe_connections, duration::max()},
                std::move(events));
}

void entry_process::on_probe_response(const server_key& server, int status,
                                      bool draining, const std::string& body) {
    constexpr int status_ok = 200;
    const auto report = parse_load_json(body);
    if (status == status_ok && report) {
        coordinator_->on_report(server, *report, draining, loop_.now());
    } else {
        coordinator_->on_probe_failed(server, loop_.now());
    }
}

void entry_process::log_peer_changes() {
    std::map<incarnation, member> current_peers;
    for (auto& peer : coordinator_->peers(loop_.now())) {
        current_peers.emplace(peer.id, std::move(peer));
    }
    for (const auto& [id, peer] : current_peers) {
        const auto logged = logged_peers_.find(id);
        if (logged == logged_peers_.end()) {
            log_event(event_number::peer_joined,
                      {{"incarnation", to_string(id)},
                       {"address", peer.peer_address}});
        } else if (peer.state == member_state::suspected &&
                   logged->second.state != member_state::suspected) {
            log_event(event_number::peer_suspected,
                      {{"incarnation", to_string(id)},
                       {"address", peer.peer_address}});
        }
    }
    for (const auto& [id, peer] : logged_peers_) {
        if (!current_peers.contains(id)) {
            log_event(event_number::peer_gone,
                      {{"incarnation", to_string(id)},
                       {"address", peer.peer_address}});
        }
    }
    logged_peers_ = std::move(current_peers);
}

void entry_process::log_table_confirmation() {
    const bool confirmed = coordinator_->status(loop_.now()).table_confirmed;
    if (confirmed != table_confirmed_) {
        table_confirmed_ = confirmed;
        log_event(confirmed ? event_number::table_confirmed
                            : event_number::table_unconfirmed,
                  {});
    }
}

} // namespace lacewingbeam
