#include "fleet.hpp"

#include <criterion/criterion.h>
#include <csignal>
#include <thread>

// The operators' tool against real processes.
using namespace testing_support;

namespace {

std::unique_ptr<fleet> running;

void set_up() {
    running = std::make_unique<fleet>();
    running->add_service(
        "sheets", {{"deadline_ms", "3000"}, {"long_work", "GET /export"}});
    running->add_server("sheets", "a");
    running->add_server("sheets", "b");
}

void tear_down() {
    running.reset();
}

struct tool_result {
    int code = 0;
    std::string output;
};

tool_result tool(std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), tool_path());
    tool_result result;
    result.code = run_to_end(arguments, result.output);
    return result;
}

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

constexpr int good = 0;
constexpr int unreachable = 1;
constexpr int bad_input = 2;
constexpr int conflict = 3;

} // namespace

TestSuite(operator_tool, .init = set_up, .fini = tear_down, .timeout = 120);

Test(operator_tool, table_set_takes_hold_on_every_instance) {
    running->add_instances(2);
    const auto edit = tool(
        {"table", "set", "-p", running->platform(), "sheets/a", "weight=3"});
    cr_assert_eq(edit.code, good, "%s", edit.output.c_str());
    cr_assert(eventually([] {
        return running->status(0).at("table_version") ==
                   running->table_version() + 1 &&
               running->status(1).at("table_version") ==
                   running->table_version() + 1;
    }));
}

Test(operator_tool, table_set_bad_cell_is_refused_with_what_is_allowed) {
    const auto edit = tool({"table", "set", "-p", running->platform(),
                            "sheets/a", "weight=heavy"});
    cr_assert_eq(edit.code, bad_input);
    cr_assert(contains(edit.output, "weight"));
    cr_assert(contains(edit.output, "1000"));
    const auto unknown = tool(
        {"table", "set", "-p", running->platform(), "sheets/a", "colour=red"});
    cr_assert_eq(unknown.code, bad_input);
    cr_assert(contains(unknown.output, "known cells are"));
}

Test(operator_tool, loser_of_race_is_told_who_changed_what) {
    const auto shown =
        tool({"table", "show", "-p", running->platform(), "sheets"});
    cr_assert(contains(shown.output, "sheets/a"));
    tool({"table", "set", "-p", running->platform(), "--by", "mina", "sheets/a",
          "weight=2"});
    const auto late =
        tool({"table", "set", "-p", running->platform(), "--by", "peteris",
              "--expect", "2", "sheets/a", "weight=5"});
    cr_assert_eq(late.code, conflict);
    cr_assert(contains(late.output, "mina"));
    const auto now =
        tool({"table", "show", "-p", running->platform(), "sheets"});
    cr_assert(contains(now.output, "weight=2"));
}

Test(operator_tool, two_racing_operators_have_one_winner) {
    const auto set = [](const std::string& name) {
        return std::async(std::launch::async, [name] {
            return tool({"table", "set", "-p", running->platform(), "--by",
                         name, "--expect", "2", "sheets/a", "weight=7"});
        });
    };
    auto first = set("mina");
    auto second = set("peteris");
    const int codes = first.get().code + second.get().code;
    cr_assert_eq(codes, good + conflict);
}

Test(operator_tool, lost_answer_is_settled_by_edit_id) {
    running->control(running->platform(), {{"lose_answers", 1}});
    const auto edit = tool(
        {"table", "set", "-p", running->platform(), "sheets/a", "weight=4"});
    cr_assert_eq(edit.code, good, "%s", edit.output.c_str());
    const auto shown =
        tool({"table", "show", "-p", running->platform(), "sheets"});
    cr_assert(contains(shown.output, "weight=4"));
}

Test(operator_tool, lost_request_is_written_again) {
    running->control(running->platform(), {{"lose_requests", 1}});
    const auto edit = tool(
        {"table", "set", "-p", running->platform(), "sheets/a", "weight=4"});
    cr_assert_eq(edit.code, good, "%s", edit.output.c_str());
}

Test(operator_tool, export_and_import_keep_the_table) {
    const auto exported = tool({"table", "export", "-p", running->platform()});
    cr_assert_eq(exported.code, good);
    const auto path = running->files().write("table.csv", exported.output);
    const auto same =
        tool({"table", "import", "-p", running->platform(), path});
    cr_assert_eq(same.code, good);
    cr_assert_eq(same.output, "");
}

Test(operator_tool, import_of_stale_export_is_a_conflict) {
    auto text = tool({"table", "export", "-p", running->platform()}).output;
    tool({"table", "set", "-p", running->platform(), "--by", "mina", "sheets/a",
          "weight=9"});
    const auto path = running->files().write("table.csv", text);
    const auto stale =
        tool({"table", "import", "-p", running->platform(), path});
    cr_assert_eq(stale.code, conflict);
    cr_assert(contains(stale.output, "mina"));
}

Test(operator_tool, import_of_broken_file_names_the_line) {
    const auto path = running->files().write(
        "table.csv", "key,weight\nsheets/a,1\nsheets/b,heavy\n");
    const auto bad = tool({"table", "import", "-p", running->platform(), path});
    cr_assert_eq(bad.code, bad_input);
    cr_assert(contains(bad.output, "line"));
}

Test(operator_tool, drain_wait_ends_after_long_export_is_whole) {
    running->add_instances(2);
    auto first = ask_later({running->instance(0).callers, "GET",
                            "/sheets/export?ms=2500&bytes=400000"});
    auto second = ask_later({running->instance(1).callers, "GET",
                             "/sheets/export?ms=2500&bytes=400000"});
    cr_assert(eventually([] {
        return running->run_log("a").at("running").get<int>() +
                   running->run_log("b").at("running").get<int>() ==
               2;
    }));
    const auto drain =
        tool({"drain", "-p", running->platform(), "--wait", "--admin",
              running->instance(0).admin, "sheets/a"});
    cr_assert_eq(drain.code, good, "%s", drain.output.c_str());
    cr_assert_eq(running->run_log("a").at("running").get<int>(), 0);
    cr_assert_eq(first.get().body.size(), 400000);
    cr_assert_eq(second.get().body.size(), 400000);
    const auto served = running->run_log("a").at("served");
    for (int i = 0; i < 10; ++i) {
        ask({running->instance(i % 2U).callers, "GET", "/sheets/x"});
    }
    cr_assert_eq(running->run_log("a").at("served"), served);
}

Test(operator_tool, status_shows_all_instances) {
    running->add_instances(2);
    const auto status = tool({"status", "--admin", running->instance(0).admin});
    cr_assert_eq(status.code, good);
    cr_assert(contains(status.output, running->instance(1).admin));
}

Test(operator_tool, explain_shows_choices_with_their_inputs) {
    running->add_instances(1);
    ask({running->instance(0).callers, "GET", "/sheets/x"});
    const auto explain =
        tool({"explain", "--admin", running->instance(0).admin, "sheets"});
    cr_assert_eq(explain.code, good);
    cr_assert(contains(explain.output, "cost="));
}

Test(operator_tool, absent_platform_is_told_with_exit_code) {
    const auto shown = tool({"table", "show", "-p", "127.0.0.1:1"});
    cr_assert_eq(shown.code, unreachable);
}

Test(operator_tool, check_settings_names_file_line_key_and_allowed) {
    const auto path = running->files().write(
        "bad.ini", "[instance]\nfailure_domain = a\ncaller_port = 8o80\n"
                   "[platform]\naddress = somewhere\nspeed = 3\n");
    const auto checked = tool({"check-settings", path});
    cr_assert_eq(checked.code, bad_input);
    cr_assert(contains(checked.output, "bad.ini:3"));
    cr_assert(contains(checked.output, "0 to 65535"));
    cr_assert(contains(checked.output, "bad.ini:5"));
    cr_assert(contains(checked.output, "unknown key speed"));
}

Test(operator_tool, daemon_with_wrong_settings_ends_with_code_2) {
    const auto path = running->files().write("bad.ini", "[instance]\n");
    std::string output;
    const int code = run_to_end({entry_path(), "--settings", path}, output);
    cr_assert_eq(code, bad_input);
    cr_assert(contains(output, "failure_domain is missing"));
}

Test(operator_tool, no_command_prints_help_with_code_2) {
    const auto result = tool({});
    cr_assert_eq(result.code, bad_input);
    cr_assert(contains(result.output, "exit codes"));
    cr_assert_eq(tool({"--help"}).code, good);
    cr_assert_eq(tool({"drain", "--help"}).code, good);
}
