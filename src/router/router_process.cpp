#include "router_process.hpp"

#include "adapters/event_log.hpp"
#include "adapters/settings_file.hpp"
#include "lacewingbeam/endpoint.hpp"
#include "options_from_settings.hpp"
#include "quarantine_api.hpp"

#include <boost/algorithm/string.hpp>
#include <csignal>
#include <random>

namespace lacewingbeam {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

constexpr duration instance_update_interval = milliseconds(250);

// Longer delays of the event loop are logged.
constexpr duration reported_loop_delay = milliseconds(500);
constexpr duration stop_check_interval = milliseconds(50);

// The interval between checks for a settings file that was replaced without a
// signal.
constexpr duration settings_check_interval = seconds(1);

// The load balancer in front checks readiness once a second and removes this
// instance after two failed checks.
constexpr duration min_stop_time = milliseconds(3000);

// The time within which the kernel sends the rest of the last response.
constexpr duration socket_flush_time = milliseconds(300);

// Fractions of the time between SIGTERM and SIGKILL: until the last requests
// are answered, and until the process exits.
constexpr double answering_fraction = 0.9;
constexpr double grace_fraction = 0.95;

std::uint64_t generate_seed() {
    std::random_device device;
    constexpr unsigned word_bits = 32;
    return (std::uint64_t{device()} << word_bits) | device();
}

endpoint checked_endpoint(const std::string& text) {
    return parse_endpoint(text).value(); // validated when settings were read
}

settings::router_settings read_settings(const std::string& path,
                                        std::optional<int> memory_limit) {
    auto values = read_router_settings_file(path);
    values.router.memory_limit =
        memory_limit.value_or(values.router.memory_limit);
    return values;
}

listener_limits make_limits(const caller_limits& limits,
                            const settings::router_settings& settings) {
    listener_limits out;
    out.max_connections =
        static_cast<std::size_t>(settings.router.max_connections);
    out.max_header_bytes = limits.max_header_bytes;
    out.max_body_bytes = limits.max_body_bytes;
    out.idle_timeout = limits.idle_timeout;
    return out;
}

} // namespace

router_process::router_process(const daemon_options& options,
                               platform_binding platform)
    : memory_limit_(options.memory_limit),
      settings_(read_settings(options.settings_path, memory_limit_)),
      settings_watch_(options.settings_path), platform_(std::move(platform)),
      memory_(bytes_of_megabytes(settings_.router.memory_limit)),
      caller_listener_(loop_, memory_,
                       checked_endpoint(settings_.router.callers).ip,
                       checked_endpoint(settings_.router.callers).port,
                       make_limits(caller_limits{}, settings_)),
      readiness_listener_(
          loop_, memory_, checked_endpoint(settings_.router.readiness).ip,
          checked_endpoint(settings_.router.readiness).port, {}),
      metrics_listener_(loop_, memory_,
                        checked_endpoint(settings_.router.metrics).ip,
                        checked_endpoint(settings_.router.metrics).port, {}),
      peer_link_(loop_, memory_, checked_endpoint(settings_.router.peers).ip,
                 checked_endpoint(settings_.router.peers).port,
                 settings_.peers.key) {
    configure_log(settings_.log.level);
    const auto seed = generate_seed();
    follower_.emplace(make_follower_options(settings_, seed), loop_.now());
    follower_->set_seeds(split_list(settings_.peers.seeds));
    router_.emplace(follower_->view(), make_router_options(settings_),
                    seed + 1);
    gateway_.emplace(
        loop_, platform_, *router_, metrics_, memory_,
        gateway_options{settings_.router.source_ip, settings_.peers.key});
    sync_.emplace(loop_, platform_, *follower_, peer_link_, metrics_,
                  make_sync_options(settings_));
    sync_->confirmed.connect([this] { gateway_->on_directory_confirmed(); });
    sync_->changed.connect([this](const directory::change& change) {
        on_directory_changed(change);
    });
    peer_link_.received.connect(
        [this](const std::string& from, const peer_message& message) {
            if (const auto* report = std::get_if<suspect_report>(&message)) {
                gateway_->on_suspect_report(from, *report);
            }
        });
    gateway_->report.connect(
        [this](const std::string& peer, const suspect_report& report) {
            peer_link_.send(peer, report);
        });
    caller_listener_.request.connect(
        [this](const std::shared_ptr<incoming_request>& incoming) {
            gateway_->on_request(incoming);
        });
    caller_listener_.set_refusal(make_no_memory_refusal());
    readiness_listener_.request.connect(
        [this](const std::shared_ptr<incoming_request>& incoming) {
            handle_readiness(*incoming);
        });
    metrics_listener_.request.connect(
        [this](const std::shared_ptr<incoming_request>& incoming) {
            handle_metrics(*incoming);
        });
    peer_link_.dropped.connect(
        [](const std::string& from, const std::string& reason) {
            log_event(event_number::peer_message_dropped,
                      {{"from", from}, {"reason", reason}});
        });
}

void router_process::run() {
    std::signal(SIGPIPE, SIG_IGN);
    instance_update_timer_ = loop_.every(instance_update_interval, [this] {
        check_loop_delay();
        update_instances();
    });
    last_loop_check_at_ = loop_.now();
    term_signal_ = loop_.on_signal(SIGTERM, [this] { begin_stop(); });
    reload_signal_ = loop_.on_signal(SIGHUP, [this] { reload(); });
    settings_check_timer_ = loop_.every(settings_check_interval, [this] {
        if (settings_watch_.has_changed()) {
            reload();
        }
    });
    log_event(event_number::started,
              {{"incarnation", to_string(follower_->members().own().id)},
               {"callers", settings_.router.callers},
               {"peers", settings_.router.peers}});
    update_instances();
    sync_->start();
    loop_.run();
    log_event(event_number::stopped, {});
}

void router_process::reload() {
    try {
        std::vector<std::string> needs_restart;
        settings_ = merge_reloaded(
            settings_, read_settings(settings_watch_.path(), memory_limit_),
            needs_restart);
        configure_log(settings_.log.level);
        router_->reconfigure(make_router_options(settings_));
        follower_->reconfigure(make_reading_options(settings_));
        follower_->set_seeds(split_list(settings_.peers.seeds));
        sync_->reconfigure(make_sync_options(settings_));
        log_event(
            event_number::reloaded,
            {{"needs_restart", boost::algorithm::join(needs_restart, ",")}});
    } catch (const settings_error& problem) {
        log_event(event_number::reload_failed, {{"reason", problem.what()}});
    }
}

void router_process::check_loop_delay() {
    const auto now = loop_.now();
    const auto delay = now - last_loop_check_at_ - instance_update_interval;
    last_loop_check_at_ = now;
    max_loop_delay_ = std::max(max_loop_delay_, delay);
    if (delay > reported_loop_delay) {
        log_event(
            event_number::loop_delayed,
            {{"delay_ms", ms_text(delay)},
             {"requests", std::to_string(gateway_->request_count())},
             {"peer_messages", std::to_string(peer_link_.counts().received)}});
    }
}

void router_process::update_instances() {
    const auto now = loop_.now();
    router_->set_instances(follower_->estimated_instance_count(now));
    const auto sharing = follower_->sharing_instance_count(now);
    const bool all_known = follower_->knows_peers(now);
    router_->set_sharing_instances(sharing, all_known, now);
    if (sharing != sharing_instances_ || all_known != all_instances_known_) {
        sharing_instances_ = sharing;
        all_instances_known_ = all_known;
        log_event(
            event_number::budgets_shared,
            {{"instances", std::to_string(sharing)},
             {"active", std::to_string(follower_->members().active_count(now))},
             {"all_known", all_known ? "yes" : "no"}});
    }
    update_forwarding_peers(now);
    if (!all_known) {
        return;
    }
    std::vector<std::string> peers;
    std::set<incarnation> started;
    for (const auto& peer : follower_->members().members(now)) {
        if (peer.state != member_state::leaving) {
            peers.push_back(peer.peer_address);
            started.insert(peer.id);
        }
    }
    router_->set_peers(settings_.router.peers, std::move(peers));
    router_->set_limit_sharers(settings_.router.peers,
                               follower_->members().sharing_addresses(now));
    for (const auto& peer : follower_->members().members(now)) {
        if (started.contains(peer.id) && !known_peers_.contains(peer.id)) {
            gateway_->on_peer_started(peer.peer_address);
        }
    }
    known_peers_ = std::move(started);
}

void router_process::update_forwarding_peers(time_point now) {
    std::vector<forwarding_peer> peers;
    for (const auto& peer : follower_->members().members(now)) {
        if (peer.state == member_state::alive) {
            peers.push_back(
                {peer.caller_address, peer.id, peer.failure_domain});
        }
    }
    router_->set_forwarding_peers(std::move(peers));
}

void router_process::on_directory_changed(const directory::change& change) {
    router_->on_servers_changed(change.servers, loop_.now());
    const auto& view = follower_->view();
    const auto* routing = view.routing();
    if (change.routing && routing != nullptr) {
        caller_listener_.set_limits(make_limits(routing->limits, settings_));
    }
    log_event(event_number::table_changed,
              {{"version", routing == nullptr ? "-" : routing->version},
               {"servers", std::to_string(view.server_count())},
               {"changed", boost::algorithm::join(change.servers, ",")},
               {"age_ms", age_text(follower_->age(loop_.now()))},
               {"routes_age_ms", age_text(follower_->routes_age(loop_.now()))},
               {"from", follower_->changed_by()}});
}

void router_process::handle_readiness(incoming_request& incoming) {
    if (incoming.target() != platform_.readiness_path) {
        incoming.reply(status_not_found, {}, "");
        return;
    }
    const bool ready =
        !stopping_since_ && follower_->view().routes_valid_at(loop_.now());
    incoming.reply(ready ? status_ok : status_unavailable, {}, "");
}

void router_process::handle_metrics(incoming_request& incoming) {
    const auto now = loop_.now();
    if (incoming.target().starts_with(quarantine_path)) {
        handle_quarantine_call(incoming, router_->quarantine(), *gateway_, now);
        return;
    }
    metrics_.set_gauge("requests", static_cast<double>(router_->requests()));
    metrics_.set_gauge(
        "instances",
        static_cast<double>(follower_->estimated_instance_count(now)));
    if (const auto age = follower_->age(now)) {
        metrics_.set_gauge("directory_age_ms", to_ms(*age));
    }
    if (const auto age = follower_->routes_age(now)) {
        metrics_.set_gauge("routes_age_ms", to_ms(*age));
    }
    metrics_.set_gauge("max_loop_delay_ms", to_ms(max_loop_delay_));
    metrics_.set_gauge(
        "quarantined_requests",
        static_cast<double>(router_->quarantine().refused(now).size()));
    metrics_.set_gauge("lost_paths",
                       static_cast<double>(router_->lost_paths()));
    metrics_.set_gauge("reads_store", follower_->is_reading() ? 1 : 0);
    incoming.reply(status_ok, {{"Content-Type", "text/plain; version=0.0.4"}},
                   metrics_.text());
}

void router_process::begin_stop() {
    if (stopping_since_) {
        return;
    }
    stopping_since_ = loop_.now();
    log_event(event_number::stopping,
              {{"requests", std::to_string(gateway_->request_count())}});
    gateway_->begin_stop(
        *stopping_since_ + min_stop_time,
        *stopping_since_ +
            from_seconds(settings_.router.stop_grace * answering_fraction));
    sync_->begin_stop();
    stop_timer_ = loop_.every(stop_check_interval, [this] { stop_if_done(); });
}

void router_process::stop_if_done() {
    const auto now = loop_.now();
    const auto elapsed = now - *stopping_since_;
    if (caller_listener_.unsent_responses() > 0) {
        last_unsent_at_ = now;
    }
    const bool idle =
        gateway_->request_count() == 0 &&
        now - std::max(last_unsent_at_, gateway_->last_finished_at()) >
            socket_flush_time;
    const auto grace =
        from_seconds(settings_.router.stop_grace * grace_fraction);
    if ((elapsed > min_stop_time && idle) || elapsed > grace) {
        loop_.stop();
    }
}

} // namespace lacewingbeam
