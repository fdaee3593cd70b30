#include "fake_node.hpp"

#include <algorithm>

// The simulated platform: table service, claims, journal and instance list.
namespace fake {

namespace {

using namespace lacewingbeam;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration late_write_delay = milliseconds(300);
constexpr duration poll_interval = seconds(1);

} // namespace

void cluster::poll_platform(const std::string& name, std::uint64_t generation) {
    at(now_ + poll_interval, [this, name, generation] {
        const auto found = nodes_.find(name);
        if (found != nodes_.end() && found->second->generation == generation) {
            poll_platform(name, generation);
        }
    });
    const auto asked_at = now_;
    run_on_node(name, generation, [this, asked_at](node& self) {
        if (!platform_reachable(self)) {
            deliver_later(self, platform_timeout, [this](node& later) {
                later.decisions->on_platform_failed(now_);
            });
            return;
        }
        const auto held = self.decisions->table().version();
        std::map<std::string, raw_row> rows;
        std::uint64_t version = 0;
        for (const auto& item : edits_) {
            if (item.at + platform_.read_lag > now_) {
                break;
            }
            version = item.row.version.revision;
            if (version > held) {
                rows[item.row.key] = item.row;
            }
        }
        std::vector<raw_row> list;
        list.reserve(rows.size());
        for (auto& [key, row] : rows) {
            list.push_back(row);
        }
        deliver_later(self, platform_.delay,
                      [this, list, version, asked_at](node& later) {
                          later.decisions->on_table(list, version, asked_at,
                                                    now_);
                          later.decisions->on_instance_list(listed_, now_);
                      });
    });
}

void cluster::commit_claims(const std::vector<claim>& claims) {
    for (const auto& item : claims) {
        claims_.emplace(item.key, item);
    }
}

void cluster::write_claims(node& from,
                           const lacewingbeam::write_claims& action) {
    const auto number = action.batch.number;
    const auto unknown = [this, number](node& self) {
        execute(self, self.decisions->on_claims_unknown(number, now_));
    };
    std::vector<claim> existing;
    for (const auto& item : action.batch.claims) {
        const auto found = claims_.find(item.key);
        if (found != claims_.end()) {
            existing.push_back(found->second);
        }
    }
    const auto consume = [&](unsigned& left) {
        const bool active = left > 0;
        left -= active ? 1 : 0;
        return active;
    };
    if (!platform_reachable(from) || platform_.writes_down ||
        consume(platform_.lose_requests)) {
        deliver_later(from, platform_timeout, unknown);
    } else if (!existing.empty()) {
        deliver_later(from, platform_.delay,
                      [this, number, existing](node& self) {
                          execute(self, self.decisions->on_claims_conflict(
                                            number, existing, now_));
                      });
    } else if (consume(platform_.late_writes)) {
        deliver_later(from, platform_timeout, unknown);
        at(now_ + late_write_delay, [this, claims = action.batch.claims] {
            const bool free = std::none_of(
                claims.begin(), claims.end(), [this](const claim& item) {
                    return claims_.contains(item.key);
                });
            if (free) {
                commit_claims(claims);
            }
        });
    } else {
        commit_claims(action.batch.claims);
        if (consume(platform_.lose_answers)) {
            deliver_later(from, platform_timeout, unknown);
            return;
        }
        deliver_later(from, platform_.delay, [this, number](node& self) {
            execute(self, self.decisions->on_claims_committed(number, now_));
        });
    }
}

void cluster::read_claim(node& from, const lacewingbeam::read_claim& action) {
    const auto key = action.key;
    if (!platform_reachable(from)) {
        deliver_later(from, platform_timeout, [this, key](node& self) {
            execute(self, self.decisions->on_claim_read_failed(key, now_));
        });
        return;
    }
    std::optional<claim> row;
    const auto found = claims_.find(key);
    if (found != claims_.end()) {
        row = found->second;
    }
    deliver_later(from, platform_.delay, [this, key, row](node& self) {
        execute(self, self.decisions->on_claim_read(key, row, now_));
    });
}

void cluster::write_journal(node& from,
                            const lacewingbeam::write_journal& action) {
    if (platform_reachable(from) && !platform_.writes_down) {
        for (const auto& entry : action.entries) {
            journal_[entry.operation.text] = entry.answer;
        }
    }
}

void cluster::read_journal(node& from,
                           const lacewingbeam::read_journal& action) {
    const auto id = action.call;
    std::optional<recorded_answer> answer;
    const auto found = journal_.find(action.operation.text);
    if (platform_reachable(from) && found != journal_.end()) {
        answer = found->second;
    }
    const auto delay =
        platform_reachable(from) ? platform_.delay : platform_timeout;
    deliver_later(from, delay, [this, id, answer](node& self) {
        execute(self, self.decisions->on_journal(id, answer, now_));
    });
}

bool cluster::platform_reachable(const node& at_node) const {
    return !platform_.down && !platform_cuts_.contains(at_node.name);
}

void cluster::cut_platform(const std::string& name) {
    platform_cuts_.insert(name);
}

void cluster::heal_platform(const std::string& name) {
    platform_cuts_.erase(name);
}

void cluster::list_leaving(const std::string& server_name) {
    listed_.push_back({server_addresses_.at(server_name), false, true});
    history_.left(server_name, now_);
}

void cluster::edit(const std::string& key, std::vector<cell> cells) {
    raw_row row;
    row.key = key;
    row.version = ++table_version_;
    for (const auto& earlier : edits_) {
        if (earlier.row.key == key) {
            row.cells = earlier.row.cells;
        }
    }
    for (auto& item : cells) {
        std::erase_if(row.cells,
                      [&](const cell& old) { return old.name == item.name; });
        row.cells.push_back(std::move(item));
    }
    if (row.value_of("state") == "leaving") {
        history_.left(key.substr(key.find('/') + 1), now_);
    }
    edits_.push_back({now_, std::move(row)});
}

} // namespace fake
