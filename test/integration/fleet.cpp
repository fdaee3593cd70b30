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
    files_.write("key", "a key that only the tests have");
    platform_process_ = std::make_unique<process>(
        std::vector<std::string>{program("standin-platform")},
        files_.file("platform.log"));
    platform_ = last_word(platform_process_->read_line());
    platform_for_instances_ = platform_;
}

void fleet::edit(const std::string& key, const json& cells) {
    auto& row = rows_[key];
    if (row.is_null()) {
        row = json::object();
    }
    row.update(cells);
    const json write{{"table", "services"}, {"key", key}, {"cells", row}};
    const auto answer = ask({platform_,
                             "POST",
                             "/v1/transactions",
                             {},
                             json{{"writes", {write}}}.dump()});
    table_version_ = answer.body_json().at("version");
}

void fleet::add_service(const std::string& name, const json& cells) {
    edit(name, cells);
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
    edit(service + "/" + name, row);
}

const std::string& fleet::server(const std::string& name) const {
    return server_addresses_.at(name);
}

proxy_process& fleet::put_proxy_before(const std::string& service,
                                       const std::string& name) {
    proxies_.push_back(start_proxy(server_addresses_.at(name), files_));
    edit(service + "/" + name, {{"address", proxies_.back()->address}});
    return *proxies_.back();
}

proxy_process& fleet::put_proxy_before_platform() {
    proxies_.push_back(start_proxy(platform_, files_));
    platform_for_instances_ = proxies_.back()->address;
    return *proxies_.back();
}

instance_process& fleet::add_instance(const std::string& settings) {
    std::string seeds;
    for (const auto& other : instances_) {
        if (!give_seeds_) {
            break;
        }
        seeds += (seeds.empty() ? "" : ",") + other->peer;
    }
    const auto name = "instance" + std::to_string(instances_.size());
    const auto path = files_.write(
        name + ".ini",
        "[instance]\ncaller_port = 0\nadmin_port = 0\npeer_port = 0\n"
        "failure_domain = a\n[platform]\naddress = " +
            platform_for_instances_ +
            "\nrequest_timeout = 300\npoll_interval = 500\n[peers]\nseeds = " +
            seeds + "\nkey_file = " + files_.file("key") +
            "\nheartbeat_interval = 200\n" + settings);
    auto made = std::make_unique<instance_process>();
    made->child = std::make_unique<process>(
        std::vector<std::string>{entry_path(), "--settings", path},
        files_.file(name + ".log"));
    const auto line = made->child->read_line();
    made->callers = value_of(line, "caller");
    made->admin = value_of(line, "admin");
    made->peer = value_of(line, "peer");
    instances_.push_back(std::move(made));
    auto& added = *instances_.back();
    eventually([&] {
        return ask({added.admin, "GET", "/ready"}).status == 200;
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
    ask({address, "POST", "/control", {}, settings.dump()});
}

json fleet::run_log(const std::string& server_name) const {
    return ask({server(server_name), "GET", "/runlog"}).body_json();
}

unsigned fleet::count_runs(const std::string& operation) const {
    unsigned runs = 0;
    for (const auto& [name, child] : servers_) {
        runs += run_log(name).at("operations").value(operation, 0U);
    }
    return runs;
}

unsigned fleet::count_doubled() const {
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
    const auto answer = ask({instances_.at(i)->admin, "GET", "/admin/status"});
    return answer.status == 200 ? answer.body_json() : json::object();
}

http_question work(const std::string& address, const std::string& target,
                   const std::string& operation,
                   const std::map<std::string, std::string>& headers) {
    http_question question{address, "POST", target, headers, "content"};
    question.headers["x-operation"] = operation;
    return question;
}

} // namespace testing_support
