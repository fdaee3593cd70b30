#include "lacewingbeam/row_delta.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <string_view>

namespace lacewingbeam {

namespace {

bool by_name(const cell& a, const cell& b) {
    return a.name < b.name;
}

std::size_t size_of(const std::vector<cell>& cells) {
    std::size_t size = 0;
    for (const auto& item : cells) {
        size += item.name.size() + item.value.size();
    }
    return size;
}

} // namespace

bool row_delta::applies_to(std::uint64_t held) const {
    return held == base_version ||
           std::find(later_bases.begin(), later_bases.end(), held) !=
               later_bases.end();
}

row_delta compute_delta(const raw_row& before, const raw_row& after) {
    row_delta delta{
        after.key, before.version.revision, after.version.revision, {}, {}, {}};
    auto old = before.cells.begin();
    for (const auto& item : after.cells) {
        for (; old != before.cells.end() && old->name < item.name; ++old) {
            delta.removed.push_back(old->name);
        }
        if (old == before.cells.end() || old->name != item.name) {
            delta.cells.push_back(item);
            continue;
        }
        if (*old != item) {
            delta.cells.push_back(item);
        }
        ++old;
    }
    for (; old != before.cells.end(); ++old) {
        delta.removed.push_back(old->name);
    }
    return delta;
}

raw_row apply_delta(const raw_row& before, const row_delta& delta) {
    std::set<std::string_view> replaced;
    for (const auto& item : delta.cells) {
        replaced.insert(item.name);
    }
    replaced.insert(delta.removed.begin(), delta.removed.end());
    raw_row after{before.key, delta.version, false, {}};
    std::copy_if(before.cells.begin(), before.cells.end(),
                 std::back_inserter(after.cells), [&](const cell& item) {
                     return !replaced.contains(item.name);
                 });
    after.cells.insert(after.cells.end(), delta.cells.begin(),
                       delta.cells.end());
    std::sort(after.cells.begin(), after.cells.end(), by_name);
    return after;
}

std::size_t size_of(const raw_row& row) {
    return row.key.size() + size_of(row.cells);
}

std::size_t size_of(const row_delta& delta) {
    std::size_t size = delta.key.size() + size_of(delta.cells);
    for (const auto& name : delta.removed) {
        size += name.size();
    }
    return size;
}

} // namespace lacewingbeam
