#include <lacewingbeam/dispatcher.hpp>
#include <lacewingbeam/operation_ledger.hpp>
#include <lacewingbeam/table.hpp>
#include <lacewingbeam/verdict.hpp>

#include <chrono>
#include <iostream>

// Standalone program that embeds the library: it chooses a backend server,
// keeps a ledger of operations and reads verdicts. It does no I/O; it prints
// requests instead of sending them.
namespace {

using namespace lacewingbeam;

table_view make_table() {
    table_view table;
    const std::vector<raw_row> rows{
        {"orders", 1, false, {{"deadline_ms", "500"}}},
        {"orders/a", 2, false, {{"address", "192.0.2.1:80"}, {"slots", "3"}}},
        {"orders/b", 3, false, {{"address", "192.0.2.2:80"}, {"slots", "3"}}},
    };
    table.apply(rows, 3);
    return table;
}

// Executes the dispatcher's actions and returns the attempts started.
std::vector<attempt_id> execute(const dispatcher::actions& actions) {
    std::vector<attempt_id> attempts;
    for (const auto& action : actions) {
        if (const auto* start = std::get_if<start_attempt>(&action)) {
            std::cout << "send to " << start->address << "\n";
            attempts.push_back(start->attempt);
        } else if (const auto* end = std::get_if<finish_call>(&action)) {
            std::cout << "verdict: " << to_string(end->outcome) << "\n";
        }
    }
    return attempts;
}

} // namespace

int main() {
    const time_point now{std::chrono::seconds(1)};
    dispatcher call_dispatcher({}, 42);
    call_dispatcher.apply_table(make_table(), now);

    call request;
    request.id = call_id{1};
    request.service = "orders";
    request.deadline = now + std::chrono::milliseconds(500);
    auto attempts = execute(call_dispatcher.submit(request, now));

    // The first backend server sheds the call. It did not run, so it may be
    // retried on the other server.
    attempts = execute(call_dispatcher.on_ended(
        attempts.at(0), attempt_refused{not_run_reason::shed}, now));
    call_dispatcher.on_head(attempts.at(0), false, now);
    execute(call_dispatcher.on_ended(attempts.at(0), attempt_completed{}, now));

    // The ledger replays the recorded answer when the operation is resent.
    operation_ledger ledger({});
    operation_request ledger_request{{"order-1"},
                                     hash("order"),
                                     1,
                                     request.id,
                                     now + std::chrono::seconds(60),
                                     now + std::chrono::seconds(600)};
    ledger.begin(ledger_request, now);
    ledger.finish(ledger_request.operation, completed{},
                  recorded_answer{201, {}, "order placed"});
    const auto resend_result = ledger.begin(ledger_request, now);
    const auto* replayed = std::get_if<replay>(&resend_result);
    std::cout << "resend: "
              << (replayed != nullptr ? replayed->answer.body : "runs") << "\n";
    return replayed != nullptr ? 0 : 1;
}
