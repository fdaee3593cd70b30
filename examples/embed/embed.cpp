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
std::vector<attempt_id> carry_out(const dispatcher::actions& actions) {
    std::vector<attempt_id> started;
    for (const auto& action : actions) {
        if (const auto* start = std::get_if<start_attempt>(&action)) {
            std::cout << "send to " << start->address << "\n";
            started.push_back(start->attempt);
        } else if (const auto* end = std::get_if<finish_call>(&action)) {
            std::cout << "verdict: " << to_string(end->outcome) << "\n";
        }
    }
    return started;
}

} // namespace

int main() {
    const time_point now{std::chrono::seconds(1)};
    dispatcher decisions({}, 42);
    decisions.apply_table(make_table(), now);

    call order;
    order.id = call_id{1};
    order.service = "orders";
    order.deadline = now + std::chrono::milliseconds(500);
    auto started = carry_out(decisions.submit(order, now));

    // The first backend server sheds the order. It did not run, so it may be
    // retried on the other server.
    started = carry_out(decisions.on_ended(
        started.at(0), attempt_refused{not_run_reason::shed}, now));
    decisions.on_head(started.at(0), false, now);
    carry_out(decisions.on_ended(started.at(0), attempt_completed{}, now));

    // The ledger replays the recorded answer when the order is sent again.
    operation_ledger ledger({});
    operation_request send{{"order-1"},
                           hash("order"),
                           1,
                           order.id,
                           now + std::chrono::seconds(60),
                           now + std::chrono::seconds(600)};
    ledger.begin(send, now);
    ledger.finish(send.operation, completed{},
                  recorded_answer{201, {}, "order placed"});
    const auto again = ledger.begin(send, now);
    const auto* known = std::get_if<replay>(&again);
    std::cout << "resend: " << (known != nullptr ? known->answer.body : "runs")
              << "\n";
    return known != nullptr ? 0 : 1;
}
