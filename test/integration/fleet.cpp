#include "fleet.hpp"

namespace testing_support {

namespace {

std::string value_of(const std::string& line, const std::string& name) {
    const auto start = line.find(name + "=") + name.size() + 1;
    return line.substr(start, line.find(' ', start) - start);
}

} // namespace

std::string tool_path() {
    return LACEWINGBEAM_TOOL;
}

std::string entry_path() {
    return LACEWINGBEAM_ENTRY;
}

fleet::fleet() {
    files_.write("key", "a key for tests only");
    platform_process_ = std::make_unique<process>(
        std::vector<std::string>{program("standin-platform")},
        files_.file("platform.log"));
    platform_address_ = last_word(platform_process_->read_line());
    platform_address_for_instances_ = platform_address_;
}

void fleet::update_row(const std::string& key, const json& cells) {
    auto& row = rows_[key];
    if (row.is_null()) {
        row = json::object();
    }
    row.update(cells);
    const json write{{"table", "services"}, {"key", key}, {"cells", row}};
    const auto response = send_request({platform_address_,
                                        "POST",
                                        "/v1/transactions",
                                        {},
                                        json{{"writes", {write}}}.dump()});
    table_version_ = response.body_json().at("version");
}

void fleet::add_service(const std::string& name, const json& cells) {
    update_row(name, cells);
}

void fleet::add_server(const std::string& service, const std::string& name,
                       const std::vector<std::string>& options,
                       const json& cells) {
    std::vector<std::string> command{program("standin-backend-server")};
    command.insert(command.end(), options.begin(), options.end());
    auto& child = servers_[name];
    child = std::make_unique<process>(command, files_.file(name + ".log"));
    server_addresses_[name] = last_word(child->read_line());
    json row{{"address", server_addresses_[name]}, {"slots", "3"}};
    row.update(cells);
    update_row(service + "/" + name, row);
}

const std::string& fleet::server_address(const std::string& name) const {
    return server_addresses_.at(name);
}

fault_proxy_process& fleet::add_server_proxy(const std::string& service,
                                             const std::string& name) {
    proxies_.push_back(start_proxy(server_addresses_.at(name), files_));
    update_row(service + "/" + name, {{"address", proxies_.back()->address}});
    return *proxies_.back();
}

fault_proxy_process& fleet::add_platform_proxy() {
    proxies_.push_back(start_proxy(platform_address_, files_));
    platform_address_for_instances_ = proxies_.back()->address;
    return *proxies_.back();
}

instance_process& fleet::add_instance(const std::string& settings) {
    std::string seeds;
    for (const auto& other : instances_) {
        if (!pass_seeds_) {
            break;
        }
        seeds += (seeds.empty() ? "" : ",") + other->peer_address;
    }
    const auto name = "instance" + std::to_string(instances_.size());
    const auto path = files_.write(
        name + ".ini",
        "[instance]\ncaller_port = 0\nadmin_port = 0\npeer_port = 0\n"
        "failure_domain = a\n[platform]\naddress = " +
            platform_address_for_instances_ +
            "\nrequest_timeout = 300\npoll_interval = 500\n[peers]\nseeds = " +
            seeds + "\nkey_file = " + files_.file("key") +
            "\nheartbeat_interval = 200\n" + settings);
    auto started = std::make_unique<instance_process>();
    started->child = std::make_unique<process>(
        std::vector<std::string>{entry_path(), "--settings", path},
        files_.file(name + ".log"));
    const auto line = started->child->read_line();
    started->caller_address = value_of(line, "caller");
    started->admin_address = value_of(line, "admin");
    started->peer_address = value_of(line, "peer");
    instances_.push_back(std::move(started));
    auto& added = *instances_.back();
    eventually([&] {
        return send_request({added.admin_address, "GET", "/ready"}).status ==
               200;
    });
    return added;
}

void fleet::add_instances(unsigned count, const std::string& settings) {
    for (unsigned i = 0; i < count; ++i) {
        add_instance(settings);
    }
    eventually([&] {
        for (std::size_t i = 0; i < instances_.size(); ++i) {
            if (status(i).value("active_instances", 0U) < count) {
                return false;
            }
        }
        return true;
    });
}

std::string fleet::log_of(std::size_t i) const {
    return instances_.at(i)->child->output_so_far() +
           read_file(files_.file("instance" + std::to_string(i) + ".log"));
}

void fleet::control(const std::string& address, const json& settings) const {
    send_request({address, "POST", "/control", {}, settings.dump()});
}

json fleet::run_log(const std::string& server_name) const {
    return send_request({server_address(server_name), "GET", "/runlog"})
        .body_json();
}

unsigned fleet::count_runs(const std::string& operation) const {
    unsigned runs = 0;
    for (const auto& [name, child] : servers_) {
        runs += run_log(name).at("operations").value(operation, 0U);
    }
    return runs;
}

unsigned fleet::count_duplicate_runs() const {
    std::map<std::string, unsigned> runs;
    for (const auto& [name, child] : servers_) {
        const auto log = run_log(name);
        for (const auto& [operation, count] : log.at("operations").items()) {
            runs[operation] += count.get<unsigned>();
        }
    }
    unsigned doubled = 0;
    for (const auto& [operation, count] : runs) {
        doubled += count > 1 ? 1 : 0;
    }
    return doubled;
}

json fleet::status(std::size_t i) const {
    const auto response =
        send_request({instances_.at(i)->admin_address, "GET", "/admin/status"});
    return response.status == 200 ? response.body_json() : json::object();
}

http_request work_request(const std::string& address, const std::string& target,
                          const std::string& operation,
                          const std::map<std::string, std::string>& headers) {
    http_request request{address, "POST", target, headers, "content"};
    request.headers["x-operation"] = operation;
    return request;
}

} // namespace testing_support
