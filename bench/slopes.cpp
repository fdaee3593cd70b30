#include "adapters/wire_codec.hpp"
#include "lacewingbeam/coordinator.hpp"

#include <chrono>
#include <functional>
#include <iomanip>
#include <iostream>
#include <malloc.h>
#include <sstream>
#include <vector>

// lacewingbeam-slopes: measures the memory and processor time of the
// coordinator per backend server, peer, edit, call and ticket at several sizes,
// and prints them as the table in docs/CAPACITY.md.
namespace {

using namespace lacewingbeam;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr unsigned servers_per_service = 6;
const std::string key = "a key for measuring only";

double measure_seconds(const std::function<void()>& work) {
    const auto start = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                         start)
        .count();
}

// Returns the heap memory in use by this process in bytes.
double heap_bytes() {
    const auto usage = mallinfo2();
    return static_cast<double>(usage.uordblks) +
           static_cast<double>(usage.hblkhd);
}

member make_member(unsigned i) {
    random_engine engine(i + 1);
    member result;
    result.id = draw_incarnation(engine);
    const auto host = "10." + std::to_string(i >> 16U & 255U) + "." +
                      std::to_string(i >> 8U & 255U) + "." +
                      std::to_string(i & 255U);
    result.peer_address = host + ":8082";
    result.caller_address = host + ":8080";
    result.admin_address = host + ":8081";
    result.failure_domain = "domain-" + std::to_string(i % 22);
    return result;
}

raw_row make_server(unsigned i, std::uint64_t version) {
    const auto service = "service-" + std::to_string(i / servers_per_service);
    return {service + "/server-" + std::to_string(i),
            version,
            false,
            {{"address", "10.1." + std::to_string(i >> 8U & 255U) + "." +
                             std::to_string(i & 255U) + ":80"},
             {"failure_domain", "domain-" + std::to_string(i % 22)},
             {"weight", "1"},
             {"slots", "6"},
             {"connections", "260"},
             {"edit_id", std::string(32, 'e')},
             {"edited_by", "operator"},
             {"edited_at", "2026-01-01T00:00:00Z"}}};
}

std::vector<raw_row> make_table(unsigned servers) {
    std::vector<raw_row> rows;
    std::uint64_t version = 0;
    for (unsigned i = 0; i < servers; ++i) {
        if (i % servers_per_service == 0) {
            rows.push_back(
                {"service-" + std::to_string(i / servers_per_service),
                 ++version,
                 false,
                 {{"deadline_ms", "1000"}}});
        }
        rows.push_back(make_server(i, ++version));
    }
    return rows;
}

coordinator_options make_options() {
    coordinator_options options;
    options.own = make_member(0);
    options.key = key;
    return options;
}

// A coordinator with a loaded table to measure.
class measured_instance {
public:
    explicit measured_instance(unsigned servers)
        : subject(make_options(), now) {
        const auto rows = make_table(servers);
        version = rows.size();
        subject.on_table(rows, version, now, now);
    }

    // Advances time by one second with a tick every 2 ms, like the daemon.
    void tick_for_a_second() {
        for (int i = 0; i < 500; ++i) {
            now += milliseconds(2);
            subject.on_tick(now);
        }
        subject.on_table({}, version, now, now);
    }

    void complete_call(std::uint64_t number, const std::string& ticket) {
        arriving_call call;
        call.id = call_id{number};
        call.service = "service-0";
        call.method = "POST";
        call.path = "/";
        call.ticket = ticket;
        for (const auto& action : subject.on_call(call, now)) {
            if (const auto* start = std::get_if<start_attempt>(&action)) {
                subject.on_head(start->attempt, false, now);
                subject.on_attempt_ended(start->attempt, attempt_completed{},
                                         recorded_answer{200, {}, "done"}, now);
            }
        }
    }

    time_point now{seconds(1000)};
    coordinator subject;
    std::uint64_t version = 0;
};

void print_row(const std::string& what, unsigned size, double value,
               const std::string& unit) {
    std::cout << "| " << what << " | " << size << " | " << std::setprecision(3)
              << value << " | " << unit << " |" << std::endl;
}

void measure_servers(unsigned servers) {
    const double before = heap_bytes();
    measured_instance instance(servers);
    const double used = heap_bytes() - before;
    print_row("table: memory", servers, used / servers / 1024,
              "KB per backend server");
    constexpr int rounds = 5;
    const double time = measure_seconds([&] {
        for (int i = 0; i < rounds; ++i) {
            instance.tick_for_a_second();
        }
    });
    print_row("upkeep: processor", servers, time / rounds * 100,
              "% of a core in all");
    constexpr int edits = 200;
    const double edit_time = measure_seconds([&] {
        for (int i = 0; i < edits; ++i) {
            const auto version = instance.version + 1 + i;
            const std::vector<raw_row> edit{make_server(0, version)};
            instance.subject.on_table(edit, version, instance.now,
                                      instance.now);
        }
    });
    print_row("edit: processor", servers, edit_time / edits * 1e6,
              "us per edit");
}

void measure_peers(unsigned peers) {
    measured_instance instance(600);
    heartbeat beat;
    beat.table_version = instance.version;
    for (unsigned i = 0; i < 40; ++i) {
        beat.loads.push_back({load_hash({"service", std::to_string(i)}), 2, 0});
    }
    for (unsigned i = 1; i <= 2; ++i) {
        beat.members.push_back(make_member(i));
    }
    std::vector<std::string> messages;
    for (unsigned i = 1; i <= peers; ++i) {
        beat.sender = make_member(i);
        beat.sequence = 1;
        messages.push_back(encode_message(beat, key));
    }
    print_row("heartbeat: size", peers, static_cast<double>(messages[0].size()),
              "bytes with 40 loads");
    const double time = measure_seconds([&] {
        for (const auto& message : messages) {
            instance.subject.on_message(
                "10.0.0.1:1", decode_message(message, key), instance.now);
        }
    });
    print_row("heartbeat: processor", peers, time / peers * 1e6,
              "us per message received");
    std::size_t sent = 0;
    std::size_t bytes = 0;
    const double send_time = measure_seconds([&] {
        for (int i = 0; i < 10; ++i) {
            instance.now += milliseconds(500);
            for (const auto& action : instance.subject.on_tick(instance.now)) {
                if (const auto* outgoing = std::get_if<send_message>(&action)) {
                    bytes += encode_message(outgoing->message, key).size();
                    ++sent;
                }
            }
        }
    });
    print_row("heartbeats: sent", peers, static_cast<double>(sent) / 5,
              "messages a second");
    print_row("heartbeats: bytes sent", peers,
              static_cast<double>(bytes) / 5 / 1024, "KB a second, idle");
    print_row("heartbeats: processor", peers, send_time / 5 * 100,
              "% of a core for sending");
}

void measure_calls(unsigned calls) {
    measured_instance instance(600);
    std::uint64_t number = 0;
    const double plain_time = measure_seconds([&] {
        for (unsigned i = 0; i < calls; ++i) {
            instance.complete_call(++number, {});
        }
    });
    print_row("call: decisions", calls, plain_time / calls * 1e6,
              "us per call");
    std::vector<std::string> tickets;
    for (unsigned i = 0; i < calls; ++i) {
        tickets.push_back(*instance.subject.mint_ticket(instance.now));
    }
    const double before = heap_bytes();
    const double ticketed_time = measure_seconds([&] {
        for (const auto& ticket : tickets) {
            instance.complete_call(++number, ticket);
        }
    });
    print_row("call with ticket: decisions", calls, ticketed_time / calls * 1e6,
              "us per call");
    print_row("ticket kept: memory", calls, (heap_bytes() - before) / calls,
              "bytes per operation");
}

} // namespace

int main() {
    std::cout << "| what | size | value | unit |\n|---|---|---|---|\n";
    for (const unsigned servers : {600U, 2100U, 6000U, 21000U}) {
        measure_servers(servers);
    }
    for (const unsigned peers : {17U, 100U, 1000U}) {
        measure_peers(peers);
    }
    for (const unsigned calls : {5000U, 20000U, 80000U}) {
        measure_calls(calls);
    }
}
