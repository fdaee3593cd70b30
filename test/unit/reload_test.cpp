#include "adapters/settings_file.hpp"
#include "adapters/settings_watch.hpp"
#include "router/options_from_settings.hpp"
#include "router_fixture.hpp"

#include <criterion/criterion.h>
#include <cstdio>
#include <fstream>

// Settings changes while an instance is running.
using namespace lacewingbeam;
using namespace lacewingbeam::test;
using std::chrono::seconds;

namespace {

settings::router_settings make_settings() {
    return parse_router_settings("[router]\nfailure_domain = a\n"
                                 "callers = 127.0.0.1:1\n"
                                 "readiness = 127.0.0.1:2\n"
                                 "peers = 127.0.0.1:3\n"
                                 "metrics = 127.0.0.1:4\n"
                                 "[store]\naddress = 127.0.0.1:5\n"
                                 "[peers]\nseeds = 127.0.0.1:3\nkey = k\n"
                                 "[budgets]\nrepeat_slack = 40\n",
                                 "settings.ini");
}

} // namespace

Test(reload, changed_budgets_and_seeds_take_effect) {
    const auto running = make_settings();
    auto reloaded = running;
    reloaded.budgets.repeat_slack = 80;
    reloaded.peers.seeds = "127.0.0.1:9";
    reloaded.store.address = "127.0.0.1:8";
    std::vector<std::string> needs_restart;
    const auto merged = merge_reloaded(running, reloaded, needs_restart);
    cr_assert(merged == reloaded);
    cr_assert(needs_restart.empty());
    cr_assert_eq(make_router_options(merged).repeats.slack, 80);
    cr_assert_eq(make_sync_options(merged).store_address, "127.0.0.1:8");
}

Test(reload, changed_own_address_is_reported_as_needing_restart) {
    const auto running = make_settings();
    auto reloaded = running;
    reloaded.router.callers = "127.0.0.1:7";
    reloaded.peers.key = "other";
    std::vector<std::string> needs_restart;
    const auto merged = merge_reloaded(running, reloaded, needs_restart);
    cr_assert_eq(merged.router.callers, "127.0.0.1:1");
    cr_assert_eq(merged.peers.key, "k");
    cr_assert_eq(needs_restart.size(), 2);
    cr_assert_eq(needs_restart[0], "router.callers");
    cr_assert_eq(needs_restart[1], "peers.key");
}

Test(reload, smaller_repeat_budget_applies_to_requests_in_progress) {
    router_fixture_options options;
    options.router.repeats = {0, 10000, seconds(10)};
    router_fixture fixture(options);
    const auto sent = router_fixture::pick<send_action>(
        fixture.answer_probes(fixture.submit(1), {0, 0, 3, 1}));
    cr_assert_eq(sent.size(), 1);
    options.router.repeats.slack = 0;
    fixture.router.reconfigure(options.router);
    const auto out = fixture.router.on_attempt_ended(
        sent[0].attempt, attempt_not_run{not_run_reason::shed}, fixture.now);
    cr_assert(router_fixture::pick<probe_action>(out).empty());
    cr_assert_eq(router_fixture::pick<finish_action>(out).size(), 1);
}

Test(settings_watch, replaced_file_is_reported_once) {
    char path[] = "/tmp/lacewingbeam-watch-XXXXXX";
    cr_assert_geq(mkstemp(path), 0);
    settings_watch watch(path);
    cr_assert_not(watch.has_changed());
    std::ofstream(path) << "longer than before";
    cr_assert(watch.has_changed());
    cr_assert_not(watch.has_changed());
    std::remove(path);
    cr_assert_not(watch.has_changed()); // may be in the middle of a replacement
    std::ofstream(path) << "new";
    cr_assert(watch.has_changed());
    std::remove(path);
}
