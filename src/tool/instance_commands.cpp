#include "command_line.hpp"
#include "commands.hpp"

#include "request_events.hpp"
#include "table_edit.hpp"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <set>

namespace lacewingbeam {

namespace {

using json = nlohmann::json;

constexpr int status_ok = 200;
constexpr duration drain_poll_interval = std::chrono::milliseconds(200);

json get_json(tool_session& session, const std::string& address,
              const std::string& target) {
    const auto result = session.get(address, target);
    if (result.status == 0) {
        throw unreachable_error("instance " + address + " did not answer");
    }
    auto body = json::parse(result.body, nullptr, false);
    if (result.status != status_ok) {
        throw error(body.is_object() ? body.value("title", "request refused")
                                     : "request refused");
    }
    return body;
}

// Returns the admin addresses of an instance and of all its peers.
std::set<std::string> find_instances(tool_session& session,
                                     const std::string& admin) {
    std::set<std::string> all{admin};
    const auto body = get_json(session, admin, "/admin/peers");
    for (const auto& peer : body.at("peers")) {
        all.insert(peer.at("admin_address").get<std::string>());
    }
    return all;
}

struct drain_state {
    std::size_t without_edit = 0; // instances that may still send new requests
    unsigned in_flight = 0;
    std::size_t unreachable = 0; // instances that did not answer
};

void add_instance_state(const json& status, const json& servers,
                        const server_key& key, std::uint64_t version,
                        drain_state& sum) {
    if (status.at("table_version").get<std::uint64_t>() < version) {
        ++sum.without_edit;
    }
    for (const auto& item : servers.at("servers")) {
        if (item.at("service") == key.service &&
            item.at("backend_server") == key.backend_server) {
            sum.in_flight += item.at("in_flight").get<unsigned>();
        }
    }
}

drain_state read_drain_state(tool_session& session,
                             const std::set<std::string>& instances,
                             const server_key& key, std::uint64_t version) {
    drain_state sum;
    for (const auto& address : instances) {
        try {
            const auto status = get_json(session, address, "/admin/status");
            const auto servers = get_json(session, address, "/admin/servers");
            add_instance_state(status, servers, key, version, sum);
        } catch (const unreachable_error&) {
            ++sum.unreachable;
        }
    }
    return sum;
}

// Waits until every instance has applied the edit and has no requests to the
// backend server in flight. Returns the exit code.
int wait_for_drain(tool_session& session, const std::string& admin,
                   const server_key& key, std::uint64_t version,
                   duration limit) {
    duration waited{};
    std::set<std::string> instances;
    drain_state state;
    while (waited < limit) {
        instances.merge(find_instances(session, admin));
        state = read_drain_state(session, instances, key, version);
        if (state.without_edit == 0 && state.in_flight == 0 &&
            state.unreachable == 0) {
            std::cout << "drained: " << instances.size()
                      << " instances have no requests in flight to "
                      << to_string(key) << "\n";
            return exit_success;
        }
        session.sleep(drain_poll_interval);
        waited += drain_poll_interval;
    }
    std::cerr << "drain timed out: " << state.in_flight
              << " requests in flight, " << state.without_edit
              << " instances without the edit, " << state.unreachable
              << " instances did not answer\n";
    return exit_timeout;
}

std::uint64_t set_leaving(tool_session& session, const std::string& key,
                          const std::string& by) {
    const auto found = session.read_row(services_table, key);
    if (!found || found->deleted) {
        throw table_error("row not found: " + key);
    }
    if (found->value_of("state") == "leaving") {
        return found->version.revision;
    }
    row_change change{*found, *found};
    set_cell(change.wanted, "state", "leaving");
    const auto result =
        apply_changes(session, {&change, 1}, {by, current_time()});
    if (const auto* accepted = std::get_if<edit_accepted>(&result)) {
        return accepted->version;
    }
    if (const auto* conflict = std::get_if<edit_conflict>(&result)) {
        std::string text = "conflict: another edit changed the row; try again";
        for (const auto& line : conflict->lines) {
            text += "\n  " + line;
        }
        throw error(text);
    }
    throw unreachable_error("platform did not answer: the edit may or may not "
                            "have been committed; run drain again");
}

void print_instance(const json& status) {
    std::cout << status.at("admin_address").get<std::string>() << "  "
              << (status.at("ready").get<bool>() ? "ready" : "not-ready")
              << "  domain=" << status.at("failure_domain").get<std::string>()
              << "  table=" << status.at("table_version")
              << "  table_age_ms=" << status.at("table_age_ms")
              << "  calls=" << status.at("calls")
              << "  waiting=" << status.at("waiting_calls")
              << "  instances=" << status.at("active_instances") << "\n";
}

} // namespace

int run_drain(const std::vector<std::string>& arguments) {
    command_line line("Takes a backend server out of service: sets its "
                      "state to leaving.");
    TCLAP::ValueArg<std::string> platform("p", "platform", "platform address",
                                          true, "", "IP:port", line);
    TCLAP::ValueArg<std::string> admin(
        "a", "admin", "admin address of any instance; required by --wait",
        false, "", "IP:port", line);
    TCLAP::SwitchArg wait("w", "wait",
                          "wait until no instance has requests to it in flight",
                          line);
    TCLAP::ValueArg<unsigned> limit("t", "timeout", "maximum wait", false, 3600,
                                    "SECONDS", line);
    TCLAP::ValueArg<std::string> by("b", "by", "editor name to record", false,
                                    "operator", "NAME", line);
    TCLAP::UnlabeledValueArg<std::string> key("key", "backend server", true, "",
                                              "SERVICE/BACKEND_SERVER", line);
    line.read(arguments);
    const auto slash = key.getValue().find('/');
    if (slash == std::string::npos) {
        throw table_error("\"" + key.getValue() +
                          "\" is not of the form service/backend_server");
    }
    if (wait.getValue() && admin.getValue().empty()) {
        throw table_error("--wait requires --admin");
    }
    tool_session session(platform.getValue());
    const auto version = set_leaving(session, key.getValue(), by.getValue());
    std::cout << to_string(server_key{key.getValue().substr(0, slash),
                                      key.getValue().substr(slash + 1)})
              << " is leaving as of version " << version << std::endl;
    if (!wait.getValue()) {
        return exit_success;
    }
    return wait_for_drain(
        session, admin.getValue(),
        {key.getValue().substr(0, slash), key.getValue().substr(slash + 1)},
        version, std::chrono::seconds(limit.getValue()));
}

int run_status(const std::vector<std::string>& arguments) {
    command_line line("Shows the status of an instance and its peers.");
    TCLAP::ValueArg<std::string> admin("a", "admin",
                                       "admin address of any instance", true,
                                       "", "IP:port", line);
    line.read(arguments);
    tool_session session("");
    int code = exit_success;
    for (const auto& address : find_instances(session, admin.getValue())) {
        try {
            print_instance(get_json(session, address, "/admin/status"));
        } catch (const unreachable_error&) {
            std::cout << address << "  no answer\n";
            code = exit_unreachable;
        }
    }
    return code;
}

namespace {

int explain_choices(const std::string& admin, const std::string& service) {
    tool_session session("");
    const auto body = get_json(session, admin, "/admin/explain/" + service);
    for (const auto& choice : body.at("choices")) {
        std::cout << choice.at("age_ms")
                  << " ms ago: " << choice.at("chosen").get<std::string>()
                  << "\n";
        for (const auto& item : choice.at("candidates")) {
            std::cout << "    " << item.at("backend_server").get<std::string>()
                      << "  cost=" << item.at("expected_cost")
                      << "  load=" << item.at("estimated_load") << "/"
                      << item.at("slots")
                      << "  own=" << item.at("own_in_flight")
                      << "  latency_ms=" << item.at("latency_ms")
                      << "  penalty=" << item.at("penalty")
                      << "  weight=" << item.at("weight") << "\n";
        }
    }
    return exit_success;
}

void read_log(std::istream& input, const std::string& name,
              std::vector<log_line>& lines) {
    for (std::string text; std::getline(input, text);) {
        if (auto line = parse_log_line(text, name)) {
            lines.push_back(std::move(*line));
        }
    }
}

int explain_request(const std::string& id,
                    const std::vector<std::string>& files) {
    std::vector<log_line> lines;
    for (const auto& path : files) {
        std::ifstream input(path);
        if (!input) {
            throw error("cannot read log \"" + path + "\"");
        }
        read_log(input, path.substr(path.rfind('/') + 1), lines);
    }
    if (files.empty()) {
        read_log(std::cin, "-", lines);
    }
    const auto events = find_request_events(lines, id);
    if (events.empty()) {
        throw error("request \"" + id + "\" not found in " +
                    std::to_string(lines.size()) + " log lines");
    }
    for (const auto& line : events) {
        std::cout << line.time << "  " << line.instance << "  " << line.text
                  << "\n";
    }
    return exit_success;
}

} // namespace

int run_explain(const std::vector<std::string>& arguments) {
    command_line line("Shows an instance's latest choices for a service with "
                      "their inputs (--admin), or the log events of one "
                      "request (--request).");
    TCLAP::ValueArg<std::string> admin("a", "admin", "admin address", false, "",
                                       "IP:port");
    TCLAP::ValueArg<std::string> request("r", "request", "request id", false,
                                         "", "ID");
    line.xorAdd(admin, request);
    TCLAP::UnlabeledMultiArg<std::string> names(
        "names", "service; with --request, log files (default: standard input)",
        false, "SERVICE or FILE", line);
    line.read(arguments);
    if (request.isSet()) {
        return explain_request(request.getValue(), names.getValue());
    }
    if (names.getValue().size() != 1) {
        throw error("--admin requires exactly one service");
    }
    return explain_choices(admin.getValue(), names.getValue().front());
}

} // namespace lacewingbeam
