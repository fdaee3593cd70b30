#include "load_generator.hpp"

#include <algorithm>

namespace lacewingbeam::bench {

namespace {

constexpr duration send_interval = std::chrono::microseconds(200);
constexpr std::size_t max_body_prefix = 64;
constexpr int first_server_error = 500;

pool_options make_pool_options() {
    pool_options options;
    options.connect_timeout = std::chrono::seconds(2);
    options.stall_timeout = std::chrono::seconds(60);
    return options;
}

std::string make_query(const planned_call& call, const work_class& kind) {
    const auto ms =
        std::chrono::round<std::chrono::milliseconds>(call.work).count();
    return "?ms=" + std::to_string(std::max<std::int64_t>(ms, 0)) +
           "&bytes=" + std::to_string(kind.answer_bytes);
}

} // namespace

load_generator::load_generator(const load_plan& plan, generator_options options)
    : plan_(plan), options_(std::move(options)),
      pool_(loop_, make_pool_options()), report_(plan) {}

load_report load_generator::run() {
    start_ = loop_.now();
    const auto timer = loop_.every(send_interval, [this] { send_due(); });
    loop_.run();
    return std::move(report_);
}

void load_generator::send_due() {
    const auto now = loop_.now();
    while (next_call_ < plan_.calls.size() &&
           start_ + plan_.calls[next_call_].at <= now) {
        send(plan_.calls[next_call_++]);
    }
    end_if_done();
}

void load_generator::end_if_done() {
    if (next_call_ < plan_.calls.size()) {
        return;
    }
    const auto last = plan_.calls.empty() ? duration{} : plan_.calls.back().at;
    if (open_calls_.empty() ||
        loop_.now() > start_ + last + options_.completion_timeout) {
        for (const auto& [number, call] : open_calls_) {
            ++report_.at(call.plan->phase, call.plan->work_class)
                  .verdicts["no answer"];
        }
        open_calls_.clear();
        loop_.stop();
    }
}

void load_generator::send(const planned_call& call) {
    const auto number = ++sent_count_;
    const auto& kind = plan_.classes[call.work_class];
    auto& open = open_calls_[number];
    open.plan = &call;
    open.target = options_.targets[number % options_.targets.size()];
    open.operation = options_.operation_prefix + kind.name + "-" +
                     std::to_string(number) + ";";
    ++report_.at(call.phase, call.work_class).sent;
    http_request request;
    request.method = parse_method(kind.method).value_or(EVHTTP_REQ_GET);
    request.target = kind.target + make_query(call, kind);
    request.headers.push_back({"x-operation", open.operation});
    if (kind.ticketed) {
        auto& tickets = tickets_[open.target];
        request.headers.push_back({"lacewingbeam-want-ticket", "1"});
        if (!tickets.empty()) {
            request.headers.push_back({"lacewingbeam-ticket", tickets.front()});
            tickets.pop_front();
        }
    }
    if (kind.keyed) {
        request.headers.push_back({"idempotency-key", open.operation});
    }
    if (request.method == EVHTTP_REQ_POST) {
        request.body = open.operation;
    }
    exchange_events events;
    events.head = [this, number](const http_response_head& head) {
        open_calls_.at(number).head = head;
    };
    events.body = [this, number](std::string_view piece) {
        auto& answered_call = open_calls_.at(number);
        answered_call.received += piece.size();
        answered_call.body_prefix += piece.substr(
            0, max_body_prefix -
                   std::min(max_body_prefix, answered_call.body_prefix.size()));
    };
    events.end = [this, number] {
        finish(number);
    };
    events.failed = [this, number](const exchange_failure& failure) {
        fail(number, failure);
    };
    pool_.start(open.target, request, {options_.connections, duration::max()},
                std::move(events));
}

void load_generator::finish(std::uint64_t number) {
    const auto found = open_calls_.find(number);
    if (found == open_calls_.end()) {
        return;
    }
    const auto& call = found->second;
    auto& result = report_.at(call.plan->phase, call.plan->work_class);
    const auto latency = loop_.now() - (start_ + call.plan->at);
    const auto verdict =
        std::string(find_header(call.head.headers, "lacewingbeam-verdict")
                        .value_or("completed"));
    ++result.verdicts[verdict];
    const auto ticket =
        find_header(call.head.headers, "lacewingbeam-next-ticket");
    if (ticket) {
        tickets_[call.target].emplace_back(*ticket);
    }
    if (verdict == "completed" && call.head.status >= first_server_error) {
        ++result.failed;
    } else if (verdict == "completed") {
        result.completed.add(latency);
        const bool streamed = call.body_prefix.starts_with('x');
        const bool is_own_answer =
            call.body_prefix.starts_with(call.operation) || streamed;
        result.wrong += is_own_answer ? 0 : 1;
    } else if (verdict.starts_with("not_run")) {
        result.refused.add(latency);
        report_.add_not_run(call.operation);
    }
    open_calls_.erase(found);
}

void load_generator::fail(std::uint64_t number,
                          const exchange_failure& failure) {
    const auto found = open_calls_.find(number);
    if (found == open_calls_.end()) {
        return;
    }
    const auto& call = found->second;
    auto& result = report_.at(call.plan->phase, call.plan->work_class);
    if (call.head.status != 0) {
        ++result.cut;
    }
    ++result.verdicts[failure.bytes_sent ? "no answer" : "not sent"];
    open_calls_.erase(found);
}

} // namespace lacewingbeam::bench
