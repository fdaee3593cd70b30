#include "scenario.hpp"
#include "schedule.hpp"

#include <criterion/criterion.h>
#include <filesystem>

// All scenario files, the scenario language itself, and random schedules.
namespace {

// Runs `count` seeds from `first`; every violation is shown with its seed.
void run_seeds(std::uint64_t first, std::uint64_t count) {
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        const auto outcome = schedule::run(seed);
        for (const auto& violation : outcome.violations) {
            cr_expect_fail("seed %lu: %s", seed, violation.c_str());
        }
        cr_assert_gt(outcome.runs, 0);
    }
}

constexpr std::uint64_t seeds_per_test = 400;

} // namespace

Test(scenario, every_file_meets_its_expectations) {
    std::size_t files = 0;
    for (const auto& entry :
         std::filesystem::directory_iterator(LACEWINGBEAM_SCENARIOS)) {
        const auto outcome = scenario::run_file(entry.path());
        ++files;
        cr_expect_gt(outcome.expectations, 0, "%s expects nothing",
                     entry.path().c_str());
        for (const auto& failure : outcome.failures) {
            cr_expect_fail("%s", failure.c_str());
        }
    }
    cr_assert_gt(files, 0);
}

Test(scenario, unmet_expectation_is_a_failure) {
    const auto outcome = scenario::run_script(
        "0s service svc deadline_ms=1000\n0s server svc s1\n0s instance a\n"
        "2s send op to a\n3s expect op not_run\n",
        "text");
    cr_assert_eq(outcome.failures.size(), 1);
}

Test(scenario, bad_script_is_refused_with_its_line) {
    for (const auto* text :
         {"0s fly\n", "soon kill a\n", "1s kill\n", "1s kill a\n",
          "2s instance a\n1s kill a\n", "0s instance a b\n"}) {
        cr_assert_throw(scenario::run_script(text, "text"),
                        scenario::script_error, "%s", text);
    }
}

Test(schedules, first_seed_range_has_no_violation) {
    run_seeds(1, seeds_per_test);
}

Test(schedules, second_seed_range_has_no_violation) {
    run_seeds(100001, seeds_per_test);
}

Test(schedules, third_seed_range_has_no_violation) {
    run_seeds(200001, seeds_per_test);
}

Test(schedules, fourth_seed_range_has_no_violation) {
    run_seeds(300001, seeds_per_test);
}

// Schedules that once broke a promise.
Test(schedules, regression_seeds_have_no_violation) {
    for (const std::uint64_t seed :
         {1072, 1127, 1132, 1303, 1424, 1602, 2773, 2926, 3232, 3240, 3394,
          4448, 12153, 16969}) {
        run_seeds(seed, 1);
    }
}
