#include "lacewingbeam/verdict.hpp"

namespace lacewingbeam {

namespace {

struct kind_visitor {
    std::string_view operator()(const completed&) const { return "completed"; }
    std::string_view operator()(const not_run&) const { return "not_run"; }
    std::string_view operator()(const may_have_run&) const {
        return "may_have_run";
    }
};

struct reason_visitor {
    std::string_view operator()(const completed&) const { return {}; }
    std::string_view operator()(const not_run& value) const {
        return to_string(value.reason);
    }
    std::string_view operator()(const may_have_run& value) const {
        return to_string(value.reason);
    }
};

} // namespace

std::string_view to_string(not_run_reason reason) {
    switch (reason) {
    case not_run_reason::unknown_service:
        return "unknown_service";
    case not_run_reason::bad_request:
        return "bad_request";
    case not_run_reason::no_backend_server:
        return "no_backend_server";
    case not_run_reason::queue_full:
        return "queue_full";
    case not_run_reason::deadline_passed:
        return "deadline_passed";
    case not_run_reason::connect_failed:
        return "connect_failed";
    case not_run_reason::shed:
        return "shed";
    case not_run_reason::draining:
        return "draining";
    case not_run_reason::cancelled_before_start:
        return "cancelled_before_start";
    case not_run_reason::caller_gone:
        return "caller_gone";
    case not_run_reason::instance_stopping:
        return "instance_stopping";
    case not_run_reason::table_unconfirmed:
        return "table_unconfirmed";
    case not_run_reason::ticket_invalid:
        return "ticket_invalid";
    case not_run_reason::ticket_expired:
        return "ticket_expired";
    case not_run_reason::quarantined:
        return "quarantined";
    case not_run_reason::ticket_content_differs:
        return "ticket_content_differs";
    case not_run_reason::no_path:
        return "no_path";
    }
    return "unknown";
}

std::string_view to_string(may_have_run_reason reason) {
    switch (reason) {
    case may_have_run_reason::connection_lost:
        return "connection_lost";
    case may_have_run_reason::answer_timeout:
        return "answer_timeout";
    case may_have_run_reason::answer_malformed:
        return "answer_malformed";
    case may_have_run_reason::answer_truncated:
        return "answer_truncated";
    case may_have_run_reason::caller_gone:
        return "caller_gone";
    case may_have_run_reason::minter_unreachable:
        return "minter_unreachable";
    case may_have_run_reason::answer_not_kept:
        return "answer_not_kept";
    case may_have_run_reason::still_running:
        return "still_running";
    case may_have_run_reason::store_unavailable:
        return "store_unavailable";
    case may_have_run_reason::owner_not_consulted:
        return "owner_not_consulted";
    case may_have_run_reason::operations_full:
        return "operations_full";
    case may_have_run_reason::server_failed:
        return "server_failed";
    }
    return "unknown";
}

std::string_view kind_name(const verdict& value) {
    return std::visit(kind_visitor{}, value);
}

std::string_view reason_name(const verdict& value) {
    return std::visit(reason_visitor{}, value);
}

std::string to_string(const verdict& value) {
    std::string text(kind_name(value));
    const auto reason = reason_name(value);
    if (!reason.empty()) {
        text += "; reason=";
        text += reason;
    }
    return text;
}

std::optional<verdict> parse_verdict(std::string_view text) {
    if (text == to_string(verdict(completed{}))) {
        return completed{};
    }
    for (int i = 0; i <= static_cast<int>(not_run_reason::no_path); ++i) {
        const verdict value = not_run{static_cast<not_run_reason>(i)};
        if (text == to_string(value)) {
            return value;
        }
    }
    constexpr auto last = may_have_run_reason::server_failed;
    for (int i = 0; i <= static_cast<int>(last); ++i) {
        const verdict value = may_have_run{static_cast<may_have_run_reason>(i)};
        if (text == to_string(value)) {
            return value;
        }
    }
    return std::nullopt;
}

bool certainly_not_run(const verdict& value) {
    return std::holds_alternative<not_run>(value);
}

} // namespace lacewingbeam
