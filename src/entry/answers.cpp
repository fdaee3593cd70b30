#include "answers.hpp"

#include "adapters/header_names.hpp"

#include <nlohmann/json.hpp>

namespace lacewingbeam {

namespace {

enum http_status {
    bad_request = 400,
    not_found = 404,
    conflict = 409,
    gone = 410,
    unprocessable = 422,
    bad_gateway = 502,
    unavailable = 503,
    gateway_timeout = 504,
};

struct status_visitor {
    int operator()(const completed&) const { return bad_gateway; }

    int operator()(const not_run& value) const {
        switch (value.reason) {
        case not_run_reason::unknown_service:
            return not_found;
        case not_run_reason::bad_request:
        case not_run_reason::ticket_invalid:
            return bad_request;
        case not_run_reason::ticket_expired:
            return gone;
        case not_run_reason::ticket_content_differs:
            return unprocessable;
        case not_run_reason::connect_failed:
            return bad_gateway;
        case not_run_reason::deadline_passed:
            return gateway_timeout;
        default:
            return unavailable;
        }
    }

    int operator()(const may_have_run& value) const {
        switch (value.reason) {
        case may_have_run_reason::answer_timeout:
            return gateway_timeout;
        case may_have_run_reason::still_running:
            return conflict;
        case may_have_run_reason::answer_not_kept:
            return gone;
        default:
            return bad_gateway;
        }
    }
};

std::string ceil_to_seconds(duration value) {
    using std::chrono::ceil;
    using std::chrono::seconds;
    return std::to_string(ceil<seconds>(value).count());
}

} // namespace

int http_status_of(const verdict& outcome) {
    return std::visit(status_visitor{}, outcome);
}

local_response make_error_response(const verdict& outcome,
                                   duration retry_after) {
    local_response answer;
    answer.status = http_status_of(outcome);
    nlohmann::json body{{"type", "about:blank"},
                        {"title", reason_name(outcome)},
                        {"status", answer.status},
                        {"verdict", kind_name(outcome)},
                        {"reason", reason_name(outcome)}};
    answer.headers = {{"Content-Type", "application/problem+json"},
                      {"lacewingbeam-verdict", to_string(outcome)}};
    if (retry_after > duration::zero()) {
        using std::chrono::ceil;
        using std::chrono::milliseconds;
        const auto ms = ceil<milliseconds>(retry_after).count();
        body["retry_after_ms"] = ms;
        answer.headers.push_back({"Retry-After", ceil_to_seconds(retry_after)});
        answer.headers.push_back(
            {"lacewingbeam-retry-after-ms", std::to_string(ms)});
    }
    answer.body = body.dump() + "\n";
    return answer;
}

bool is_internal_field(std::string_view name) {
    return is_hop_by_hop(name) ||
           equal_ignoring_case(name, header::load_metrics) ||
           equal_ignoring_case(name, header::draining) ||
           equal_ignoring_case(name, header::verdict) ||
           equal_ignoring_case(name, header::next_ticket);
}

} // namespace lacewingbeam
