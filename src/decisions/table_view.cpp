#include "lacewingbeam/table.hpp"

#include <algorithm>

namespace lacewingbeam {

namespace {

auto find_position(std::vector<server_row>& servers, const server_key& key) {
    return std::lower_bound(
        servers.begin(), servers.end(), key,
        [](const server_row& row, const server_key& k) { return row.key < k; });
}

bool has_zero_byte(const raw_row& row) {
    return std::any_of(row.cells.begin(), row.cells.end(),
                       [](const cell& item) {
                           return item.name.find('\0') != std::string::npos ||
                                  item.value.find('\0') != std::string::npos;
                       });
}

} // namespace

apply_result table_view::apply(std::span<const raw_row> rows,
                               std::uint64_t version) {
    apply_result result;
    if (version <= version_) {
        return result;
    }
    for (const auto& row : rows) {
        const auto known = raw_.find(row.key);
        if (known != raw_.end() && known->second.version >= row.version) {
            continue;
        }
        if (has_zero_byte(row)) {
            result.rejected.push_back("row " + row.key +
                                      ": contains a NUL byte");
            continue;
        }
        raw_.insert_or_assign(row.key, pack(row));
        try {
            apply_row(row);
            result.changed.insert(row.key.substr(0, row.key.find('/')));
        } catch (const table_error& problem) {
            result.rejected.emplace_back(problem.what());
        }
    }
    version_ = version;
    return result;
}

// Terminates each name and value with a NUL byte, which no cell contains.
table_view::packed_row table_view::pack(const raw_row& row) {
    packed_row packed{row.version.revision, row.deleted, {}};
    for (const auto& item : row.cells) {
        packed.cells += item.name;
        packed.cells += '\0';
        packed.cells += item.value;
        packed.cells += '\0';
    }
    packed.cells.shrink_to_fit();
    return packed;
}

raw_row table_view::unpack(const std::string& key, const packed_row& row) {
    raw_row unpacked{key, row.version, row.deleted, {}};
    std::string_view remaining = row.cells;
    const auto next_field = [&remaining] {
        const auto end = remaining.find('\0');
        std::string text(remaining.substr(0, end));
        remaining.remove_prefix(end + 1);
        return text;
    };
    while (!remaining.empty()) {
        auto name = next_field();
        unpacked.cells.push_back({std::move(name), next_field()});
    }
    return unpacked;
}

void table_view::apply_row(const raw_row& row) {
    if (is_server_key(row.key)) {
        apply_server(row);
    } else {
        apply_service(row);
    }
}

void table_view::apply_service(const raw_row& row) {
    if (row.deleted) {
        const auto known = services_.find(row.key);
        if (known != services_.end()) {
            known->second.present = false;
        }
        return;
    }
    auto parsed = parse_service_row(row);
    auto& entry = services_[row.key];
    entry.row = std::move(parsed);
    entry.present = true;
}

void table_view::apply_server(const raw_row& row) {
    const auto slash = row.key.find('/');
    const server_key key{row.key.substr(0, slash), row.key.substr(slash + 1)};
    if (row.deleted) {
        const auto known = services_.find(key.service);
        if (known == services_.end()) {
            return;
        }
        auto& servers = known->second.servers;
        const auto position = find_position(servers, key);
        if (position != servers.end() && position->key == key) {
            servers.erase(position);
        }
        return;
    }
    auto parsed = parse_server_row(row);
    auto& servers = services_[key.service].servers;
    const auto position = find_position(servers, key);
    if (position != servers.end() && position->key == key) {
        *position = std::move(parsed);
    } else {
        servers.insert(position, std::move(parsed));
    }
}

std::vector<raw_row> table_view::rows_after(std::uint64_t version,
                                            std::size_t limit) const {
    using entry = decltype(raw_)::const_pointer;
    std::vector<entry> newer;
    for (const auto& item : raw_) {
        if (item.second.version > version) {
            newer.push_back(&item);
        }
    }
    std::sort(newer.begin(), newer.end(), [](entry a, entry b) {
        return a->second.version < b->second.version;
    });
    newer.resize(std::min(limit, newer.size()));
    std::vector<raw_row> rows;
    rows.reserve(newer.size());
    for (const auto* item : newer) {
        rows.push_back(unpack(item->first, item->second));
    }
    return rows;
}

const service_row* table_view::find_service(std::string_view name) const {
    const auto found = services_.find(name);
    if (found == services_.end() || !found->second.present) {
        return nullptr;
    }
    return &found->second.row;
}

const server_row* table_view::find_server(const server_key& key) const {
    for (const auto& row : servers_of(key.service)) {
        if (row.key == key) {
            return &row;
        }
    }
    return nullptr;
}

std::span<const server_row>
table_view::servers_of(std::string_view service) const {
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return {};
    }
    return found->second.servers;
}

std::vector<std::string> table_view::service_names() const {
    std::vector<std::string> names;
    for (const auto& [name, entry] : services_) {
        if (entry.present) {
            names.push_back(name);
        }
    }
    return names;
}

} // namespace lacewingbeam
