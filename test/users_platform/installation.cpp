#include "installation.hpp"

#include "base64.hpp"

#include <arpa/inet.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace testing_support {

namespace {

// A router is known by its addresses, so they are chosen before it starts. The
// socket keeps the port from others; the router may listen on it all the same.
std::string hold_address(std::vector<int>& held) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    held.push_back(fd);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    const bool good =
        bind(fd, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
        getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0;
    if (!good) {
        throw std::runtime_error("no free port");
    }
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

json route_json(const route_text& route) {
    return {{"type", "routes"},
            {"metadata", {{"name", route.prefix}}},
            {"spec",
             {{"host", "callers.example"},
              {"prefix", route.prefix},
              {"routeKind", route.repeatable ? "safe" : "unsafe"},
              {"timeoutMs", route.time_limit_ms},
              {"sloMs", route.objective_ms},
              {"priority", 0},
              {"maxAttempts", route.attempts},
              {"service", route.service}}}};
}

json service_json(const std::string& name) {
    constexpr int connections = 200;
    return {{"type", "services"},
            {"metadata", {{"name", name}}},
            {"spec", {{"healthPath", "/healthz"}, {"maxConns", connections}}}};
}

json limits_json() {
    return {{"type", "limits"},
            {"metadata", json::object()},
            {"spec",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", 1048576},
              {"headerTimeoutMs", 3000},
              {"idleTimeoutMs", 15000}}}};
}

} // namespace

installation::installation() {
    store_process_ = std::make_unique<process>(
        std::vector<std::string>{program("standin-store")},
        files_.file("store.log"));
    store_ = last_word(store_process_->read_line());
}

installation::~installation() {
    for (const int fd : held_ports_) {
        close(fd);
    }
}

json installation::control(const std::string& address, const json& settings) {
    return send_request({address, "POST", "/control", {}, settings.dump()})
        .body_json();
}

void installation::put(const std::string& table, const std::string& key,
                       const json& value) {
    json row{{"tableName", table}, {"part", ""}, {"key", key}};
    json body;
    if (value.is_null()) {
        body["remove"] = {row};
    } else {
        row["value"] = encode_base64(value.dump());
        body["put"] = {row};
    }
    // Operators and servers keep trying while the store refuses.
    const bool done = eventually([&] {
        return send_request({store_, "POST", "/rows-tx", {}, body.dump()})
                   .status == 200;
    });
    if (!done) {
        throw std::runtime_error("the store takes no change");
    }
}

routed_server& installation::add_server(const std::string& service,
                                        const std::string& id,
                                        const server_options& options) {
    auto made = std::make_unique<routed_server>();
    made->id = id;
    made->service = service;
    made->slots = options.slots;
    made->child = std::make_unique<process>(
        std::vector<std::string>{program("standin-routed-server"), "-i", id,
                                 "-s", std::to_string(options.slots), "-p",
                                 options.port},
        files_.file(id + ".log"));
    made->address = last_word(made->child->read_line());
    if (options.behind_proxy) {
        made->proxy = start_proxy(made->address, files_);
    }
    register_server(*made);
    auto& kept = servers_[id];
    kept = std::move(made);
    return *kept;
}

void installation::register_server(const routed_server& server, bool leaving) {
    put("servers", server.id,
        {{"service", server.service},
         {"addr", server.registered()},
         {"zone", "a"},
         {"version", "v1"},
         {"capacity", server.slots},
         {"state", leaving ? "draining" : "ready"},
         {"coldLeftMs", 0},
         {"sequence", ++sequence_}});
}

void installation::remove_registration(const std::string& id) {
    put("servers", id, nullptr);
}

unsigned installation::publish(const std::vector<route_text>& routes) {
    ++version_;
    json resources{limits_json()};
    std::map<std::string, bool> services;
    for (const auto& route : routes) {
        resources.push_back(route_json(route));
        if (!std::exchange(services[route.service], true)) {
            resources.push_back(service_json(route.service));
        }
    }
    put("op", "config",
        {{"version", std::to_string(version_)}, {"resources", resources}});
    return version_;
}

router_instance& installation::add_router(const std::string& store) {
    auto made = std::make_unique<router_instance>();
    made->name = "router" + std::to_string(routers_.size());
    made->callers = hold_address(held_ports_);
    made->readiness = hold_address(held_ports_);
    made->peers = hold_address(held_ports_);
    made->metrics = hold_address(held_ports_);
    made->store = store.empty() ? store_ : store;
    routers_.push_back(std::move(made));
    return *routers_.back();
}

void installation::write_settings(router_instance& router,
                                  const std::string& further) const {
    constexpr std::size_t most_seeds = 3;
    std::string seeds;
    for (std::size_t i = 0; i < std::min(most_seeds, routers_.size()); ++i) {
        seeds += (i == 0 ? "" : ",") + routers_[i]->peers;
    }
    router.settings_path = files_.write(
        router.name + ".ini",
        "[router]\nfailure_domain = a\ncallers = " + router.callers +
            "\nreadiness = " + router.readiness + "\npeers = " + router.peers +
            "\nmetrics = " + router.metrics + "\n[store]\naddress = " +
            router.store + "\n[peers]\nkey = soak\nseeds = " + seeds +
            "\n[budgets]\nrepeat_slack = 60\nprobes_per_second = 60\n" +
            further);
}

void installation::start(router_instance& router) const {
    if (router.settings_path.empty()) {
        write_settings(router);
    }
    router.child = process::start_logged(
        {LACEWINGBEAM_ROUTER, "--settings", router.settings_path},
        files_.file(router.name + ".log"));
}

bool installation::is_ready(const router_instance& router) const {
    constexpr std::chrono::milliseconds limit(500);
    return send_request({router.readiness, "GET", "/readyz", {}, {}, limit})
               .status == 200;
}

std::string installation::log_of(const router_instance& router) const {
    return read_file(files_.file(router.name + ".log"));
}

} // namespace testing_support
