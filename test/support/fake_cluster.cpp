#include "fake_node.hpp"

#include <algorithm>

namespace fake {

namespace {

using namespace lacewingbeam;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration connect_timeout = milliseconds(250);
constexpr duration tick_interval = milliseconds(10);
constexpr duration loss_detection_delay = milliseconds(50);
constexpr int status_ok = 200;

} // namespace

cluster::cluster(std::uint64_t seed) : engine_(seed) {
    options.seed = seed;
    options.key = shared_key;
}

cluster::~cluster() = default;

void cluster::at(time_point when, std::function<void()> function) {
    events_.emplace(std::max(when, now_), std::move(function));
}

void cluster::run_for(duration time) {
    const auto end = now_ + time;
    while (!events_.empty() && events_.begin()->first <= end) {
        auto next = events_.extract(events_.begin());
        now_ = next.key();
        next.mapped()();
    }
    now_ = end;
}

void cluster::add_instance(const std::string& name) {
    auto created = std::make_unique<node>();
    created->name = name;
    created->generation = next_generation_++;
    auto own = options;
    const auto host = "10.0.0." + std::to_string(next_port_++);
    own.own.id = draw_incarnation(engine_);
    own.own.peer_address = host + ":7000";
    own.own.caller_address = host + ":8000";
    own.own.failure_domain = "a";
    own.seed = engine_();
    created->decisions = std::make_unique<coordinator>(own, now_);
    std::vector<std::string> seeds;
    seeds.reserve(nodes_.size());
    for (const auto& [other_name, other] : nodes_) {
        seeds.push_back(other->decisions->own().peer_address);
    }
    created->decisions->set_seeds(seeds);
    listed_.push_back({own.own.peer_address, true, false});
    const auto generation = created->generation;
    nodes_[name] = std::move(created);
    poll_platform(name, generation);
    schedule_ticks(name, generation);
}

void cluster::kill_instance(const std::string& name) {
    nodes_.erase(name);
}

void cluster::stop_instance(const std::string& name) {
    const auto generation = nodes_.at(name)->generation;
    run_on_node(name, generation,
                [this](node& self) { self.decisions->begin_stop(now_); });
}

void cluster::pause_instance(const std::string& name) {
    nodes_.at(name)->paused = true;
}

// Events that arrived during the pause are handled before any timer.
void cluster::resume_instance(const std::string& name) {
    auto& self = *nodes_.at(name);
    self.paused = false;
    auto backlog = std::move(self.backlog);
    self.backlog.clear();
    for (auto& function : backlog) {
        function(self);
    }
}

bool cluster::is_running(const std::string& name) const {
    return nodes_.contains(name);
}

coordinator& cluster::instance(const std::string& name) {
    return *nodes_.at(name)->decisions;
}

std::vector<std::string> cluster::running_instances() const {
    std::vector<std::string> names;
    for (const auto& [name, self] : nodes_) {
        names.push_back(name);
    }
    return names;
}

void cluster::cut(const std::string& a, const std::string& b) {
    cuts_.insert(std::minmax(a, b));
}

void cluster::heal(const std::string& a, const std::string& b) {
    cuts_.erase(std::minmax(a, b));
}

bool cluster::is_cut(const std::string& a, const std::string& b) const {
    return cuts_.contains(std::minmax(a, b));
}

void cluster::add_server(const std::string& service, const std::string& name) {
    servers_[name] = {};
    const auto address = "10.1.0." + std::to_string(servers_.size()) + ":80";
    server_addresses_[name] = address;
    edit(service + "/" + name, {{"address", address}, {"slots", "3"}});
}

server_behaviour& cluster::server(const std::string& name) {
    return servers_.at(name);
}

void cluster::run_on_node(const std::string& name, std::uint64_t generation,
                          std::function<void(node&)> function) {
    const auto found = nodes_.find(name);
    if (found == nodes_.end() || found->second->generation != generation) {
        return;
    }
    auto& self = *found->second;
    if (self.paused) {
        self.backlog.push_back(std::move(function));
        return;
    }
    function(self);
}

void cluster::deliver_later(const node& to, duration delay,
                            std::function<void(node&)> function) {
    at(now_ + delay, [this, name = to.name, generation = to.generation,
                      function = std::move(function)] {
        run_on_node(name, generation, function);
    });
}

void cluster::schedule_ticks(const std::string& name,
                             std::uint64_t generation) {
    at(now_ + tick_interval, [this, name, generation] {
        const auto found = nodes_.find(name);
        if (found == nodes_.end() || found->second->generation != generation) {
            return;
        }
        schedule_ticks(name, generation);
        auto& self = *found->second;
        if (self.paused) {
            return;
        }
        execute(self, self.decisions->on_tick(now_));
        history_.observed_version(name + "#" + std::to_string(generation),
                                  self.decisions->table().version());
        if (self.decisions->may_exit(now_)) {
            kill_instance(name);
        }
    });
}

std::string cluster::mint(const std::string& instance_name) {
    return instance(instance_name).mint_ticket(now_).value_or("");
}

void cluster::send(const std::string& instance_name,
                   const send_options& call_options) {
    const bool once = !call_options.ticket.empty() || !call_options.key.empty();
    const auto credential = !call_options.ticket.empty() ? " with a ticket"
                            : !call_options.key.empty()  ? " with a key"
                                                         : "";
    const auto number = ++sends_;
    history_.sent({now_, number, call_options.attempt, call_options.operation,
                   once, call_options.method == "POST",
                   instance_name + credential});
    const auto found = nodes_.find(instance_name);
    if (found == nodes_.end()) {
        return;
    }
    arriving_call call;
    call.id = call_id{next_call_++};
    call.service = call_options.service;
    call.method = call_options.method;
    call.path = "/";
    call.ticket = call_options.ticket;
    call.idempotency_key = call_options.key;
    call.attempt = call_options.attempt;
    call.time_left = call_options.time_left;
    call.fingerprint = hash(call_options.operation);
    deliver_later(
        *found->second, network_delay,
        [this, call, number, operation = call_options.operation](node& self) {
            node::open_call entry;
            entry.operation = operation;
            entry.send = number;
            entry.request = call;
            self.calls[call.id] = std::move(entry);
            execute(self, self.decisions->on_call(call, now_));
        });
}

std::size_t cluster::open_calls() const {
    std::size_t count = 0;
    for (const auto& [name, self] : nodes_) {
        count += self->calls.size();
    }
    return count;
}

void cluster::disconnect_callers(const std::string& operation) {
    for (const auto& [name, self] : nodes_) {
        for (const auto& open : self->calls) {
            const auto id = open.first;
            const auto& call = open.second;
            if (call.operation == operation && call.from.empty()) {
                deliver_later(
                    *self, duration::zero(), [this, id](node& at_node) {
                        execute(at_node,
                                at_node.decisions->on_caller_gone(id, now_));
                    });
            }
        }
    }
}

struct cluster::action_runner {
    cluster& self;
    node& at_node;

    void operator()(const start_attempt& action) const {
        self.run_on_server(at_node, action);
    }
    void operator()(const cancel_attempt& action) const {
        at_node.attempts.erase(action.attempt);
    }
    void operator()(const deliver_answer& action) const {
        const auto call = at_node.calls.find(action.call);
        if (call != at_node.calls.end()) {
            call->second.delivering = action.attempt;
        }
    }
    void operator()(const finish_call& action) const {
        self.finish_delivered(at_node, action);
    }
    void operator()(const forward_call& action) const {
        self.forward(at_node, action);
    }
    void operator()(const replay_answer& action) const {
        self.finish(at_node, action.call, completed{}, action.answer.body);
    }
    void operator()(const lacewingbeam::write_claims& action) const {
        self.write_claims(at_node, action);
    }
    void operator()(const lacewingbeam::read_claim& action) const {
        self.read_claim(at_node, action);
    }
    void operator()(const lacewingbeam::write_journal& action) const {
        self.write_journal(at_node, action);
    }
    void operator()(const lacewingbeam::read_journal& action) const {
        self.read_journal(at_node, action);
    }
    void operator()(const probe_server& action) const {
        self.probe(at_node, action);
    }
    void operator()(const lacewingbeam::send_message& action) const {
        self.send_message(at_node, action);
    }
};

void cluster::execute(node& at_node, const coordinator::actions& actions) {
    for (const auto& item : actions) {
        std::visit(action_runner{*this, at_node}, item);
    }
}

void cluster::end_attempt(const std::string& name, std::uint64_t generation,
                          attempt_id attempt, attempt_result result,
                          const std::optional<recorded_answer>& answer) {
    run_on_node(name, generation, [this, attempt, result, answer](node& self) {
        const auto found = self.attempts.find(attempt);
        if (found == self.attempts.end()) {
            return;
        }
        const bool complete = std::holds_alternative<attempt_completed>(result);
        found->second.complete = complete;
        const auto server = found->second.server;
        if (complete) {
            self.decisions->on_report({"svc", server},
                                      {double(busy_[server]), 0},
                                      servers_.at(server).draining, now_);
            execute(self, self.decisions->on_head(attempt, false, now_));
        }
        execute(self, self.decisions->on_attempt_ended(attempt, result, answer,
                                                       now_));
        self.attempts.erase(attempt);
    });
}

void cluster::run_on_server(node& at_node, const start_attempt& action) {
    const auto call = at_node.calls.find(action.call);
    if (call == at_node.calls.end()) {
        return;
    }
    const auto operation = call->second.operation;
    const auto number = call->second.send;
    const auto server_name = action.server.backend_server;
    at_node.attempts[action.attempt] = {action.call, server_name, operation,
                                        false, action.record_answer};
    const auto name = at_node.name;
    const auto generation = at_node.generation;
    const auto id = action.attempt;
    const bool record = action.record_answer;
    const auto refuse = [this, name, generation, id](not_run_reason reason) {
        at(now_ + network_delay, [this, name, generation, id, reason] {
            end_attempt(name, generation, id, attempt_refused{reason}, {});
        });
    };
    at(now_ + network_delay, [this, name, generation, id, operation, number,
                              server_name, record, refuse] {
        auto& behaviour = servers_.at(server_name);
        if (behaviour.refusing_connections) {
            refuse(not_run_reason::connect_failed);
        } else if (behaviour.draining) {
            refuse(not_run_reason::draining);
        } else if (behaviour.shed_next > 0 ||
                   busy_[server_name] >= behaviour.slots) {
            behaviour.shed_next -= behaviour.shed_next > 0 ? 1 : 0;
            refuse(not_run_reason::shed);
        } else {
            history_.ran({now_, operation, server_name, number});
            ++busy_[server_name];
            at(now_ + behaviour.work, [this, name, generation, id, operation,
                                       server_name, record] {
                --busy_[server_name];
                auto& current = servers_.at(server_name);
                if (current.silent) {
                    return;
                }
                attempt_result result = attempt_completed{};
                duration delay = network_delay;
                if (current.lose_next > 0) {
                    --current.lose_next;
                    result = attempt_lost{may_have_run_reason::connection_lost};
                    delay = loss_detection_delay;
                } else if (current.cut_next > 0) {
                    --current.cut_next;
                    run_on_node(name, generation, [this, id](node& self) {
                        execute(self, self.decisions->on_head(id, false, now_));
                    });
                    result =
                        attempt_lost{may_have_run_reason::answer_truncated};
                }
                std::optional<recorded_answer> answer;
                if (record &&
                    std::holds_alternative<attempt_completed>(result)) {
                    answer = recorded_answer{status_ok, {}, operation};
                }
                at(now_ + delay, [this, name, generation, id, result, answer] {
                    end_attempt(name, generation, id, result, answer);
                });
            });
        }
    });
}

void cluster::finish_delivered(node& at_node, const finish_call& action) {
    const auto call = at_node.calls.find(action.call);
    if (call == at_node.calls.end()) {
        return;
    }
    std::optional<std::string> content;
    if (call->second.delivering) {
        const auto attempt = at_node.attempts.find(*call->second.delivering);
        if (attempt != at_node.attempts.end() && attempt->second.complete) {
            content = attempt->second.content;
        }
    }
    finish(at_node, action.call, action.outcome, content);
}

void cluster::finish(node& at_node, call_id id, const verdict& outcome,
                     const std::optional<std::string>& answer) {
    const auto found = at_node.calls.find(id);
    if (found == at_node.calls.end()) {
        return;
    }
    const auto call = found->second;
    at_node.calls.erase(found);
    if (call.answered) {
        return;
    }
    if (call.from.empty()) {
        history_.answered(
            {now_, call.operation, outcome, answer, call.send, now_});
        return;
    }
    if (is_cut(at_node.name, call.from)) {
        return;
    }
    at(now_ + network_delay, [this, call, outcome, answer, decided_at = now_] {
        run_on_node(call.from, call.from_generation,
                    [this, call, outcome, answer, decided_at](node& origin) {
                        const auto waiting = origin.calls.find(call.from_call);
                        if (waiting == origin.calls.end()) {
                            return;
                        }
                        waiting->second.answered = true;
                        history_.answered({now_, call.operation, outcome,
                                           answer, call.send, decided_at});
                        execute(origin,
                                origin.decisions->on_forward_ended(
                                    call.from_call, forward_completed{}, now_));
                    });
    });
}

cluster::node* cluster::find_node(const std::string& address) {
    const auto host = address.substr(0, address.find(':'));
    for (const auto& [name, self] : nodes_) {
        const auto& own = self->decisions->own().peer_address;
        if (own.substr(0, own.find(':')) == host) {
            return self.get();
        }
    }
    return nullptr;
}

void cluster::forward(node& from, const forward_call& action) {
    const auto id = action.call;
    const auto end = [this, id](node& self, const forward_result& result) {
        execute(self, self.decisions->on_forward_ended(id, result, now_));
    };
    auto* target = find_node(action.caller_address);
    if (target == nullptr) {
        deliver_later(from, network_delay,
                      [end](node& self) { end(self, forward_unreachable{}); });
        return;
    }
    if (is_cut(from.name, target->name)) {
        deliver_later(from, connect_timeout,
                      [end](node& self) { end(self, forward_unreachable{}); });
        return;
    }
    if (target->decisions->own().id != action.owner) {
        deliver_later(from, network_delay,
                      [end](node& self) { end(self, forward_refused{}); });
        return;
    }
    const auto& origin = from.calls.at(id);
    node::open_call entry;
    entry.operation = origin.operation;
    entry.send = origin.send;
    entry.request = origin.request;
    entry.request.id = call_id{next_call_++};
    entry.request.forwarded = true;
    entry.request.time_left = action.time_left;
    entry.from = from.name;
    entry.from_generation = from.generation;
    entry.from_call = id;
    deliver_later(*target, network_delay, [this, entry](node& self) {
        self.calls[entry.request.id] = entry;
        execute(self, self.decisions->on_call(entry.request, now_));
    });
}

void cluster::probe(node& from, const probe_server& action) {
    const auto server_name = action.server.backend_server;
    history_.probed({now_, server_name});
    deliver_later(from, 2 * network_delay, [this, action](node& self) {
        const auto& behaviour = servers_.at(action.server.backend_server);
        if (behaviour.refusing_connections || behaviour.silent) {
            self.decisions->on_probe_failed(action.server, now_);
        } else {
            const double running = busy_[action.server.backend_server];
            self.decisions->on_report(action.server, {running, 0},
                                      behaviour.draining, now_);
        }
    });
}

void cluster::send_message(node& from,
                           const lacewingbeam::send_message& action) {
    auto* target = find_node(action.peer_address);
    if (target == nullptr || is_cut(from.name, target->name)) {
        return;
    }
    const auto sender = from.decisions->own().peer_address;
    deliver_later(
        *target, network_delay,
        [this, sender, message = action.message](node& self) {
            execute(self, self.decisions->on_message(sender, message, now_));
        });
}

} // namespace fake
