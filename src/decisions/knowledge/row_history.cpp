#include "lacewingbeam/row_history.hpp"

#include <algorithm>
#include <set>
#include <string_view>

namespace lacewingbeam {

void row_history::on_changed(const raw_row& before, const raw_row& after) {
    if (!edits_.empty() && edits_.back().to != before.version.revision) {
        edits_.clear();
    }
    auto delta = compute_delta(before, after);
    edit added{delta.base_version, delta.version, std::move(delta.removed)};
    for (auto& item : delta.cells) {
        added.cells.push_back(std::move(item.name));
    }
    edits_.push_back(std::move(added));
    if (edits_.size() > max_edits) {
        edits_.pop_front();
    }
}

// Returns the combined changes of all edits from index `first` on.
row_delta row_history::merge(std::size_t first, const raw_row& current) const {
    std::set<std::string_view> names;
    for (auto i = first; i < edits_.size(); ++i) {
        names.insert(edits_[i].cells.begin(), edits_[i].cells.end());
    }
    row_delta out;
    out.key = current.key;
    out.base_version = edits_[first].from;
    out.version = current.version.revision;
    for (auto i = first + 1; i < edits_.size(); ++i) {
        out.later_bases.push_back(edits_[i].from);
    }
    for (const auto& name : names) {
        const auto found =
            std::lower_bound(current.cells.begin(), current.cells.end(), name,
                             [](const cell& item, std::string_view text) {
                                 return item.name < text;
                             });
        if (found != current.cells.end() && found->name == name) {
            out.cells.push_back(*found);
        } else {
            out.removed.emplace_back(name);
        }
    }
    return out;
}

std::optional<row_delta>
row_history::changes_since(std::uint64_t version,
                           const raw_row& current) const {
    const auto found =
        std::find_if(edits_.begin(), edits_.end(),
                     [&](const edit& item) { return item.from == version; });
    if (found == edits_.end() || edits_.back().to != current.version.revision) {
        return std::nullopt;
    }
    return merge(static_cast<std::size_t>(found - edits_.begin()), current);
}

std::optional<row_delta>
row_history::changes_within(std::size_t max_bytes,
                            const raw_row& current) const {
    std::optional<row_delta> best;
    if (edits_.empty() || edits_.back().to != current.version.revision) {
        return best;
    }
    for (auto first = edits_.size(); first-- > 0;) {
        auto delta = merge(first, current);
        if (size_of(delta) > max_bytes) {
            break;
        }
        best = std::move(delta);
    }
    return best;
}

} // namespace lacewingbeam
