#include "fleet.hpp"

#include <criterion/criterion.h>
#include <csignal>
#include <thread>

// The command-line tool against real processes.
using namespace testing_support;

namespace {

std::unique_ptr<fleet> cluster;

void set_up() {
    cluster = std::make_unique<fleet>();
    cluster->add_service(
        "sheets", {{"deadline_ms", "3000"}, {"long_work", "GET /export"}});
    cluster->add_server("sheets", "a");
    cluster->add_server("sheets", "b");
}

void tear_down() {
    cluster.reset();
}

struct tool_result {
    int code = 0;
    std::string output;
};

tool_result run_tool(std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), tool_path());
    tool_result result;
    result.code = run_to_completion(arguments, result.output);
    return result;
}

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

constexpr int exit_ok = 0;
constexpr int exit_unreachable = 1;
constexpr int exit_bad_input = 2;
constexpr int exit_conflict = 3;

} // namespace

TestSuite(operator_tool, .init = set_up, .fini = tear_down, .timeout = 120);

Test(operator_tool, table_set_takes_effect_on_every_instance) {
    cluster->add_instances(2);
    const auto edit =
        run_tool({"table", "set", "-p", cluster->platform_address(), "sheets/a",
                  "weight=3"});
    cr_assert_eq(edit.code, exit_ok, "%s", edit.output.c_str());
    cr_assert(eventually([] {
        return cluster->status(0).at("table_version") ==
                   cluster->table_version() + 1 &&
               cluster->status(1).at("table_version") ==
                   cluster->table_version() + 1;
    }));
}

Test(operator_tool, table_set_bad_cell_is_refused_with_what_is_allowed) {
    const auto edit =
        run_tool({"table", "set", "-p", cluster->platform_address(), "sheets/a",
                  "weight=heavy"});
    cr_assert_eq(edit.code, exit_bad_input);
    cr_assert(contains(edit.output, "weight"));
    cr_assert(contains(edit.output, "1000"));
    const auto unknown =
        run_tool({"table", "set", "-p", cluster->platform_address(), "sheets/a",
                  "colour=red"});
    cr_assert_eq(unknown.code, exit_bad_input);
    cr_assert(contains(unknown.output, "known cells are"));
}

Test(operator_tool, stale_edit_reports_who_changed_the_row) {
    const auto shown = run_tool(
        {"table", "show", "-p", cluster->platform_address(), "sheets"});
    cr_assert(contains(shown.output, "sheets/a"));
    run_tool({"table", "set", "-p", cluster->platform_address(), "--by", "mina",
              "sheets/a", "weight=2"});
    const auto stale =
        run_tool({"table", "set", "-p", cluster->platform_address(), "--by",
                  "peteris", "--expect", "2", "sheets/a", "weight=5"});
    cr_assert_eq(stale.code, exit_conflict);
    cr_assert(contains(stale.output, "mina"));
    const auto after = run_tool(
        {"table", "show", "-p", cluster->platform_address(), "sheets"});
    cr_assert(contains(after.output, "weight=2"));
}

Test(operator_tool, concurrent_edits_have_one_winner) {
    const auto set = [](const std::string& name) {
        return std::async(std::launch::async, [name] {
            return run_tool({"table", "set", "-p", cluster->platform_address(),
                             "--by", name, "--expect", "2", "sheets/a",
                             "weight=7"});
        });
    };
    auto first = set("mina");
    auto second = set("peteris");
    const int codes = first.get().code + second.get().code;
    cr_assert_eq(codes, exit_ok + exit_conflict);
}

Test(operator_tool, lost_answer_is_resolved_by_edit_id) {
    cluster->control(cluster->platform_address(), {{"lose_answers", 1}});
    const auto edit =
        run_tool({"table", "set", "-p", cluster->platform_address(), "sheets/a",
                  "weight=4"});
    cr_assert_eq(edit.code, exit_ok, "%s", edit.output.c_str());
    const auto shown = run_tool(
        {"table", "show", "-p", cluster->platform_address(), "sheets"});
    cr_assert(contains(shown.output, "weight=4"));
}

Test(operator_tool, lost_request_is_written_again) {
    cluster->control(cluster->platform_address(), {{"lose_requests", 1}});
    const auto edit =
        run_tool({"table", "set", "-p", cluster->platform_address(), "sheets/a",
                  "weight=4"});
    cr_assert_eq(edit.code, exit_ok, "%s", edit.output.c_str());
}

Test(operator_tool, export_and_import_keep_the_table) {
    const auto exported =
        run_tool({"table", "export", "-p", cluster->platform_address()});
    cr_assert_eq(exported.code, exit_ok);
    const auto path = cluster->files().write("table.csv", exported.output);
    const auto same =
        run_tool({"table", "import", "-p", cluster->platform_address(), path});
    cr_assert_eq(same.code, exit_ok);
    cr_assert_eq(same.output, "");
}

Test(operator_tool, import_of_stale_export_is_a_conflict) {
    auto text =
        run_tool({"table", "export", "-p", cluster->platform_address()}).output;
    run_tool({"table", "set", "-p", cluster->platform_address(), "--by", "mina",
              "sheets/a", "weight=9"});
    const auto path = cluster->files().write("table.csv", text);
    const auto stale =
        run_tool({"table", "import", "-p", cluster->platform_address(), path});
    cr_assert_eq(stale.code, exit_conflict);
    cr_assert(contains(stale.output, "mina"));
}

Test(operator_tool, import_of_broken_file_names_the_line) {
    const auto path = cluster->files().write(
        "table.csv", "key,weight\nsheets/a,1\nsheets/b,heavy\n");
    const auto bad =
        run_tool({"table", "import", "-p", cluster->platform_address(), path});
    cr_assert_eq(bad.code, exit_bad_input);
    cr_assert(contains(bad.output, "line"));
}

Test(operator_tool, drain_wait_ends_after_long_export_is_complete) {
    cluster->add_instances(2);
    auto first = send_request_async({cluster->instance(0).caller_address, "GET",
                                     "/sheets/export?ms=2500&bytes=400000"});
    auto second =
        send_request_async({cluster->instance(1).caller_address, "GET",
                            "/sheets/export?ms=2500&bytes=400000"});
    cr_assert(eventually([] {
        return cluster->run_log("a").at("running").get<int>() +
                   cluster->run_log("b").at("running").get<int>() ==
               2;
    }));
    const auto drain =
        run_tool({"drain", "-p", cluster->platform_address(), "--wait",
                  "--admin", cluster->instance(0).admin_address, "sheets/a"});
    cr_assert_eq(drain.code, exit_ok, "%s", drain.output.c_str());
    cr_assert_eq(cluster->run_log("a").at("running").get<int>(), 0);
    cr_assert_eq(first.get().body.size(), 400000);
    cr_assert_eq(second.get().body.size(), 400000);
    const auto served = cluster->run_log("a").at("served");
    for (int i = 0; i < 10; ++i) {
        send_request(
            {cluster->instance(i % 2U).caller_address, "GET", "/sheets/x"});
    }
    cr_assert_eq(cluster->run_log("a").at("served"), served);
}

Test(operator_tool, status_shows_all_instances) {
    cluster->add_instances(2);
    const auto status =
        run_tool({"status", "--admin", cluster->instance(0).admin_address});
    cr_assert_eq(status.code, exit_ok);
    cr_assert(contains(status.output, cluster->instance(1).admin_address));
}

Test(operator_tool, explain_shows_choices_with_their_inputs) {
    cluster->add_instances(1);
    send_request({cluster->instance(0).caller_address, "GET", "/sheets/x"});
    const auto explain = run_tool(
        {"explain", "--admin", cluster->instance(0).admin_address, "sheets"});
    cr_assert_eq(explain.code, exit_ok);
    cr_assert(contains(explain.output, "cost="));
}

Test(operator_tool, unreachable_platform_gives_exit_code_1) {
    const auto shown = run_tool({"table", "show", "-p", "127.0.0.1:1"});
    cr_assert_eq(shown.code, exit_unreachable);
}

Test(operator_tool, check_settings_names_file_line_key_and_allowed) {
    const auto path = cluster->files().write(
        "bad.ini", "[instance]\nfailure_domain = a\ncaller_port = 8o80\n"
                   "[platform]\naddress = somewhere\nspeed = 3\n");
    const auto checked = run_tool({"check-settings", path});
    cr_assert_eq(checked.code, exit_bad_input);
    cr_assert(contains(checked.output, "bad.ini:3"));
    cr_assert(contains(checked.output, "0 to 65535"));
    cr_assert(contains(checked.output, "bad.ini:5"));
    cr_assert(contains(checked.output, "unknown key speed"));
}

Test(operator_tool, daemon_with_wrong_settings_ends_with_code_2) {
    const auto path = cluster->files().write("bad.ini", "[instance]\n");
    std::string output;
    const int code =
        run_to_completion({entry_path(), "--settings", path}, output);
    cr_assert_eq(code, exit_bad_input);
    cr_assert(contains(output, "failure_domain is missing"));
}

Test(operator_tool, no_command_prints_help_with_code_2) {
    const auto result = run_tool({});
    cr_assert_eq(result.code, exit_bad_input);
    cr_assert(contains(result.output, "exit codes"));
    cr_assert_eq(run_tool({"--help"}).code, exit_ok);
    cr_assert_eq(run_tool({"drain", "--help"}).code, exit_ok);
}
