#include "lacewingbeam/row_history.hpp"

#include <criterion/criterion.h>

// Tests of the changes that instances with older versions are sent.
using namespace lacewingbeam;

namespace {

raw_row make_row(std::uint64_t version, std::vector<cell> cells) {
    return {"routing", version, false, std::move(cells)};
}

struct row_history_fixture {
    row_history history;
    std::vector<raw_row> versions{make_row(1, {{"a", "1"}, {"b", "1"}}),
                                  make_row(4, {{"a", "2"}, {"b", "1"}}),
                                  make_row(6, {{"a", "1"}, {"c", "1"}})};

    row_history_fixture() {
        history.on_changed(versions[0], versions[1]);
        history.on_changed(versions[1], versions[2]);
    }
    const raw_row& current() const { return versions.back(); }
};

} // namespace

Test(row_history, changes_lead_from_each_version_to_the_current_one) {
    row_history_fixture fixture;
    for (const auto version : {0, 1}) {
        const auto& held = fixture.versions[static_cast<std::size_t>(version)];
        const auto delta = fixture.history.changes_since(held.version.revision,
                                                         fixture.current());
        cr_assert(apply_delta(held, delta.value()) == fixture.current());
    }
}

// A cell that an edit in between had changed back is sent too.
Test(row_history, changes_apply_to_every_version_that_they_name) {
    row_history_fixture fixture;
    const auto delta = fixture.history.changes_since(1, fixture.current());
    cr_assert(delta->applies_to(1) && delta->applies_to(4));
    cr_assert_not(delta->applies_to(3) || delta->applies_to(6));
    cr_assert(apply_delta(fixture.versions[1], *delta) == fixture.current());
}

Test(row_history, version_that_was_never_held_has_no_changes) {
    row_history_fixture fixture;
    cr_assert_not(fixture.history.changes_since(3, fixture.current()));
    cr_assert_not(fixture.history.changes_since(6, fixture.current()));
}

Test(row_history, edit_that_does_not_follow_discards_earlier_ones) {
    row_history_fixture fixture;
    const auto next = make_row(9, {{"a", "3"}});
    fixture.history.on_changed(make_row(8, {{"a", "1"}}), next);
    cr_assert_not(fixture.history.changes_since(6, next));
    cr_assert(fixture.history.changes_since(8, next).has_value());
}

Test(row_history, changes_are_limited_in_size) {
    row_history_fixture fixture;
    const auto all = fixture.history.changes_within(1000, fixture.current());
    cr_assert_eq(all->base_version, 1);
    cr_assert_not(fixture.history.changes_within(3, fixture.current()));
}
