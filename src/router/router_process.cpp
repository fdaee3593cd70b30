#include "router_process.hpp"

#include "adapters/event_log.hpp"
#include "adapters/settings_file.hpp"
#include "lacewingbeam/endpoint.hpp"
#include "router_terms.hpp"

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

constexpr duration upkeep_interval = milliseconds(250);
constexpr duration stop_check_interval = milliseconds(50);

// Settings that were replaced without a signal are in force within this time
// and what reading them takes.
constexpr duration watch_interval = seconds(1);

// The balancer in front asks for readiness once a second and needs two bad
// answers to send callers elsewhere.
constexpr duration linger = milliseconds(3000);

// The kernel has sent the last answer's bytes after this time.
constexpr duration flush_time = milliseconds(300);

// The part of the time between SIGTERM and SIGKILL that is used.
constexpr double grace_part = 0.95;

std::uint64_t draw_seed() {
    std::random_device device;
    constexpr unsigned half = 32;
    return (std::uint64_t{device()} << half) | device();
}

endpoint checked_endpoint(const std::string& text) {
    return parse_endpoint(text).value(); // checked when settings were read
}

listener_limits make_limits(const caller_limits& limits) {
    listener_limits out;
    out.max_header_bytes = limits.max_header_bytes;
    out.max_body_bytes = limits.max_body_bytes;
    out.idle_timeout = limits.idle_timeout;
    return out;
}

} // namespace

router_process::router_process(const std::string& settings_path,
                               platform_binding platform)
    : settings_(read_router_settings_file(settings_path)),
      watch_(settings_path), platform_(std::move(platform)),
      callers_(loop_, checked_endpoint(settings_.router.callers).ip,
               checked_endpoint(settings_.router.callers).port,
               make_limits(caller_limits{})),
      readiness_(loop_, checked_endpoint(settings_.router.readiness).ip,
                 checked_endpoint(settings_.router.readiness).port, {}),
      metrics_port_(loop_, checked_endpoint(settings_.router.metrics).ip,
                    checked_endpoint(settings_.router.metrics).port, {}),
      peers_(loop_, checked_endpoint(settings_.router.peers).ip,
             checked_endpoint(settings_.router.peers).port,
             settings_.peers.key) {
    configure_log(settings_.log.level);
    const auto seed = draw_seed();
    follower_.emplace(make_follower_options(settings_, seed), loop_.now());
    follower_->set_seeds(split_list(settings_.peers.seeds));
    router_.emplace(follower_->view(), make_router_options(settings_),
                    seed + 1);
    gateway_.emplace(loop_, platform_, *router_, counts_);
    sync_.emplace(loop_, platform_, *follower_, peers_, counts_,
                  make_sync_options(settings_));
    sync_->changed.connect([this](const directory::change& change) {
        on_directory_changed(change);
    });
    callers_.request.connect(
        [this](const std::shared_ptr<incoming_request>& one) {
            gateway_->on_request(one);
        });
    readiness_.request.connect(
        [this](const std::shared_ptr<incoming_request>& one) {
            answer_readiness(*one);
        });
    metrics_port_.request.connect(
        [this](const std::shared_ptr<incoming_request>& one) {
            answer_metrics(*one);
        });
    peers_.dropped.connect([](const std::string& from, const std::string& why) {
        log_event(event_number::peer_message_dropped,
                  {{"from", from}, {"reason", why}});
    });
}

void router_process::run() {
    std::signal(SIGPIPE, SIG_IGN);
    upkeep_timer_ =
        loop_.every(upkeep_interval, [this] { update_instances(); });
    term_signal_ = loop_.on_signal(SIGTERM, [this] { begin_stop(); });
    reload_signal_ = loop_.on_signal(SIGHUP, [this] { reload(); });
    watch_timer_ = loop_.every(watch_interval, [this] {
        if (watch_.has_changed()) {
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
        std::vector<std::string> fixed;
        settings_ = merge_reloaded(
            settings_, read_router_settings_file(watch_.path()), fixed);
        configure_log(settings_.log.level);
        router_->reconfigure(make_router_options(settings_));
        follower_->reconfigure(make_reading_options(settings_));
        follower_->set_seeds(split_list(settings_.peers.seeds));
        sync_->reconfigure(make_sync_options(settings_));
        log_event(event_number::reloaded,
                  {{"needs_restart", boost::algorithm::join(fixed, ",")}});
    } catch (const settings_error& problem) {
        log_event(event_number::reload_failed, {{"reason", problem.what()}});
    }
}

void router_process::update_instances() {
    router_->set_instances(follower_->estimated_instance_count(loop_.now()));
}

void router_process::on_directory_changed(const directory::change& change) {
    router_->on_servers_changed(change.servers, loop_.now());
    const auto& known = follower_->view();
    const auto* routing = known.routing();
    if (change.routing && routing != nullptr) {
        callers_.set_limits(make_limits(routing->limits));
    }
    log_event(event_number::table_changed,
              {{"version", routing == nullptr ? "-" : routing->version},
               {"servers", std::to_string(known.server_count())},
               {"changed", boost::algorithm::join(change.servers, ",")},
               {"age_ms", age_text(follower_->age(loop_.now()))}});
    gateway_->wake();
}

void router_process::answer_readiness(incoming_request& incoming) {
    if (incoming.target() != platform_.readiness_path) {
        incoming.reply(status_not_found, {}, "");
        return;
    }
    const bool ready =
        !stopping_since_ && follower_->view().routing() != nullptr;
    incoming.reply(ready ? status_ok : status_unavailable, {}, "");
}

void router_process::answer_metrics(incoming_request& incoming) {
    const auto now = loop_.now();
    counts_.set_gauge("requests", static_cast<double>(router_->requests()));
    counts_.set_gauge(
        "instances",
        static_cast<double>(follower_->estimated_instance_count(now)));
    if (const auto age = follower_->age(now)) {
        counts_.set_gauge("directory_age_ms", to_ms(*age));
    }
    counts_.set_gauge("reads_store", follower_->is_reading() ? 1 : 0);
    incoming.reply(status_ok, {{"Content-Type", "text/plain; version=0.0.4"}},
                   counts_.text());
}

void router_process::begin_stop() {
    if (stopping_since_) {
        return;
    }
    stopping_since_ = loop_.now();
    log_event(event_number::stopping,
              {{"requests", std::to_string(gateway_->requests())}});
    gateway_->begin_stop();
    sync_->begin_stop();
    stop_timer_ = loop_.every(stop_check_interval, [this] { stop_if_done(); });
}

void router_process::stop_if_done() {
    const auto now = loop_.now();
    const auto stopping = now - *stopping_since_;
    if (callers_.unsent_responses() > 0) {
        last_unsent_ = now;
    }
    const bool idle =
        gateway_->requests() == 0 &&
        now - std::max(last_unsent_, gateway_->last_finished()) > flush_time;
    if (stopping > linger) {
        router_->stop_accepting();
    }
    const auto grace = from_seconds(settings_.router.stop_grace * grace_part);
    if ((stopping > linger && idle) || stopping > grace) {
        loop_.stop();
    }
}

} // namespace lacewingbeam
