#include "platform_sync.hpp"

#include "../adapters/event_log.hpp"

#include <nlohmann/json.hpp>

namespace lacewingbeam {

namespace {

using json = nlohmann::json;

constexpr std::string_view claimant_cell = "claimant";
constexpr std::string_view nonce_cell = "nonce";
constexpr std::string_view answer_cell = "answer";

raw_row make_claim_row(const claim& value) {
    raw_row row;
    row.key = value.key;
    row.cells = {{std::string(claimant_cell), to_string(value.claimant)},
                 {std::string(nonce_cell), value.nonce}};
    return row;
}

// A row without a valid claimant is treated as a claim of another instance: the
// zero incarnation matches no instance.
claim parse_claim_row(const raw_row& row) {
    const auto claimant = parse_incarnation(row.value_of(claimant_cell));
    return {row.key, claimant.value_or(incarnation{}),
            std::string(row.value_of(nonce_cell))};
}

raw_row make_journal_row(const journal_entry& entry) {
    auto headers = json::array();
    for (const auto& field : entry.answer.headers) {
        headers.push_back({{"name", field.name}, {"value", field.value}});
    }
    const json answer{
        {"status", entry.answer.status},
        {"headers", std::move(headers)},
        {"body", json::binary_t(std::vector<std::uint8_t>(
                     entry.answer.body.begin(), entry.answer.body.end()))}};
    raw_row row;
    row.key = entry.operation.text;
    row.cells = {{std::string(answer_cell),
                  answer.dump(-1, ' ', true, json::error_handler_t::replace)}};
    return row;
}

std::optional<recorded_answer> parse_journal_row(const raw_row& row) {
    try {
        const auto value = json::parse(row.value_of(answer_cell));
        recorded_answer answer;
        answer.status = value.at("status").get<int>();
        for (const auto& field : value.at("headers")) {
            answer.headers.push_back({field.at("name"), field.at("value")});
        }
        for (const auto& byte : value.at("body").at("bytes")) {
            answer.body += static_cast<char>(byte.get<int>());
        }
        return answer;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace

platform_sync::platform_sync(event_loop& loop, platform_client& platform,
                             coordinator& coord, metrics& registry,
                             duration poll_interval)
    : loop_(loop), platform_(platform), coordinator_(coord),
      metrics_(registry) {
    timer_ = loop.every(poll_interval, [this] { poll(); });
    loop.defer([this] { poll(); });
}

void platform_sync::emit_actions(coordinator::actions actions) {
    if (!actions.empty()) {
        actions_ready.emit(actions);
    }
}

void platform_sync::poll() {
    if (coordinator_.reads_platform(loop_.now())) {
        poll_table();
        poll_instances();
    }
}

void platform_sync::poll_table() {
    if (table_read_pending_) {
        return;
    }
    table_read_pending_ = true;
    const auto asked_at = loop_.now();
    const auto known_version = coordinator_.table().version();
    platform_.read_rows(
        services_table, known_version,
        [this, asked_at](const std::optional<table_page>& page) {
            table_read_pending_ = false;
            record_table_read(page.has_value());
            if (!page) {
                coordinator_.on_platform_failed(loop_.now());
                return;
            }
            const auto version_before = coordinator_.table().version();
            const auto asked_at_if_complete =
                page->more ? std::optional<time_point>()
                           : std::optional<time_point>(asked_at);
            const auto problems = coordinator_.on_table(
                page->rows, page->version, asked_at_if_complete, loop_.now());
            for (const auto& problem : problems) {
                log_event(event_number::table_row_rejected,
                          {{"problem", problem}});
            }
            if (coordinator_.table().version() != version_before) {
                log_event(event_number::table_changed,
                          {{"version", std::to_string(page->version)},
                           {"rows", std::to_string(page->rows.size())}});
            }
            if (page->more) {
                poll_table();
            }
        });
}

void platform_sync::poll_instances() {
    if (instances_read_pending_) {
        return;
    }
    instances_read_pending_ = true;
    platform_.read_instances(
        [this](const std::optional<std::vector<listed_instance>>& list) {
            instances_read_pending_ = false;
            metrics_.count_platform_request("instances", list.has_value());
            if (list) {
                coordinator_.on_instance_list(*list, loop_.now());
            }
        });
}

void platform_sync::record_table_read(bool succeeded) {
    metrics_.count_platform_request("table", succeeded);
    if (succeeded == platform_available_) {
        return;
    }
    platform_available_ = succeeded;
    log_event(succeeded ? event_number::platform_recovered
                        : event_number::platform_failed,
              {});
}

void platform_sync::execute(const write_claims& command) {
    std::vector<row_write> writes;
    for (const auto& item : command.batch.claims) {
        writes.push_back({claims_table, make_claim_row(item)});
    }
    const auto number = command.batch.number;
    platform_.write(writes, [this, number](const write_result& result) {
        const auto now = loop_.now();
        const bool answered = !std::holds_alternative<write_unknown>(result);
        metrics_.count_platform_request("claim", answered);
        if (std::holds_alternative<write_committed>(result)) {
            emit_actions(coordinator_.on_claims_committed(number, now));
            return;
        }
        if (const auto* conflict = std::get_if<write_conflict>(&result)) {
            std::vector<claim> existing;
            for (const auto& row : conflict->existing) {
                existing.push_back(parse_claim_row(row));
            }
            emit_actions(
                coordinator_.on_claims_conflict(number, existing, now));
            return;
        }
        log_event(event_number::claim_write_unknown,
                  {{"problem", std::get<write_unknown>(result).problem}});
        emit_actions(coordinator_.on_claims_unknown(number, now));
    });
}

void platform_sync::execute(const read_claim& command) {
    const auto key = command.key;
    platform_.read_row(
        claims_table, key, [this, key](const read_result& result) {
            const auto now = loop_.now();
            metrics_.count_platform_request("claim_read", result.ok);
            if (!result.ok) {
                emit_actions(coordinator_.on_claim_read_failed(key, now));
                return;
            }
            std::optional<claim> row;
            if (result.row) {
                row = parse_claim_row(*result.row);
            }
            emit_actions(coordinator_.on_claim_read(key, row, now));
        });
}

void platform_sync::execute(const write_journal& command) {
    std::vector<row_write> writes;
    for (const auto& entry : command.entries) {
        writes.push_back({journal_table, make_journal_row(entry), true});
    }
    platform_.write(writes, [this](const write_result& result) {
        const bool succeeded = std::holds_alternative<write_committed>(result);
        metrics_.count_platform_request("journal", succeeded);
        if (!succeeded) {
            log_event(event_number::journal_write_failed, {});
        }
    });
}

void platform_sync::execute(const read_journal& command) {
    const auto id = command.call;
    platform_.read_row(
        journal_table, command.operation.text,
        [this, id](const read_result& result) {
            metrics_.count_platform_request("journal_read", result.ok);
            std::optional<recorded_answer> answer;
            if (result.ok && result.row) {
                answer = parse_journal_row(*result.row);
            }
            emit_actions(
                coordinator_.on_journal(id, std::move(answer), loop_.now()));
        });
}

} // namespace lacewingbeam
