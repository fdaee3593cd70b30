#include "wire_codec.hpp"

#include "lacewingbeam/endpoint.hpp"
#include "lacewingbeam/ticket.hpp"
#include "messages_constants.h"
#include "messages_types.h"

#include <algorithm>
#include <limits>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace lacewingbeam {

namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using compact_protocol = TCompactProtocolT<TMemoryBuffer>;

constexpr int max_string_bytes = 1 << 20;
constexpr int max_container_items = 1 << 18;

// Domain separation: the authentication code of a message must not be valid for
// a ticket, which is authenticated with the same key.
constexpr std::string_view message_context = "lacewingbeam message 1\n";

std::int32_t clamp_ms(duration value) {
    const auto ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
    return static_cast<std::int32_t>(std::clamp<std::int64_t>(
        ms, 0, std::numeric_limits<std::int32_t>::max()));
}

duration from_ms(std::int32_t value) {
    return std::chrono::milliseconds(std::max(0, value));
}

std::int64_t to_ms_count(store_time value) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               value.since_start)
        .count();
}

store_time to_store_time(std::int64_t ms, std::int64_t era) {
    constexpr std::int64_t max_ms =
        std::numeric_limits<std::int64_t>::max() / duration::period::den;
    return store_time(
        std::chrono::milliseconds(std::clamp<std::int64_t>(ms, 0, max_ms)),
        static_cast<std::uint64_t>(era));
}

std::int16_t clamp_count(unsigned value) {
    return static_cast<std::int16_t>(
        std::min<unsigned>(value, std::numeric_limits<std::int16_t>::max()));
}

unsigned from_count(std::int16_t value) {
    return static_cast<unsigned>(std::max<std::int16_t>(value, 0));
}

std::int32_t port_of(std::string_view address) {
    return parse_endpoint(address).value_or(endpoint{}).port;
}

std::string make_address(const std::string& ip, std::int32_t port) {
    if (!is_ip_address(ip) || port < 1 ||
        port > std::numeric_limits<std::uint16_t>::max()) {
        throw wire_error("member has an invalid IP address or port");
    }
    return to_string(endpoint{ip, static_cast<std::uint16_t>(port)});
}

wire::member to_wire(const member& value) {
    wire::member out;
    out.incarnation.assign(value.id.bytes.begin(), value.id.bytes.end());
    const auto peer = parse_endpoint(value.peer_address).value_or(endpoint{});
    out.ip = peer.ip;
    out.peer_port = peer.port;
    out.caller_port = port_of(value.caller_address);
    out.admin_port = port_of(value.admin_address);
    out.failure_domain = value.failure_domain;
    out.state = static_cast<std::int16_t>(value.state);
    out.age_ms = clamp_ms(value.age);
    return out;
}

incarnation read_incarnation(const std::string& bytes) {
    incarnation id;
    if (bytes.size() != id.bytes.size()) {
        throw wire_error("incarnation has the wrong length");
    }
    std::copy(bytes.begin(), bytes.end(), id.bytes.begin());
    return id;
}

member from_wire(const wire::member& value) {
    member out;
    out.id = read_incarnation(value.incarnation);
    out.peer_address = make_address(value.ip, value.peer_port);
    out.caller_address = make_address(value.ip, value.caller_port);
    out.admin_address = make_address(value.ip, value.admin_port);
    out.failure_domain = value.failure_domain;
    const auto last = static_cast<std::int16_t>(member_state::suspected);
    if (value.state < 0 || value.state > last) {
        throw wire_error("unknown member state");
    }
    out.state = static_cast<member_state>(value.state);
    out.age = from_ms(value.age_ms);
    return out;
}

std::vector<wire::cell> to_wire(const std::vector<cell>& cells) {
    std::vector<wire::cell> out;
    out.reserve(cells.size());
    for (const auto& item : cells) {
        wire::cell copy;
        copy.name = item.name;
        copy.value = item.value;
        out.push_back(std::move(copy));
    }
    return out;
}

std::vector<cell> from_wire(const std::vector<wire::cell>& cells) {
    std::vector<cell> out;
    out.reserve(cells.size());
    for (const auto& item : cells) {
        out.push_back({item.name, item.value});
    }
    return out;
}

wire::row to_wire(const raw_row& value) {
    wire::row out;
    out.key = value.key;
    out.version = static_cast<std::int64_t>(value.version.revision);
    out.era = static_cast<std::int64_t>(value.version.era);
    out.replaces = static_cast<std::int64_t>(value.version.replaces);
    out.deleted = value.deleted;
    out.cells = to_wire(value.cells);
    return out;
}

wire::row_delta to_wire(const row_delta& value) {
    wire::row_delta out;
    out.key = value.key;
    out.base_version = static_cast<std::int64_t>(value.base_version);
    out.version = static_cast<std::int64_t>(value.version);
    out.cells = to_wire(value.cells);
    out.removed = value.removed;
    out.later_bases.assign(value.later_bases.begin(), value.later_bases.end());
    return out;
}

row_delta from_wire(const wire::row_delta& value) {
    return {value.key,
            static_cast<std::uint64_t>(value.base_version),
            static_cast<std::uint64_t>(value.version),
            from_wire(value.cells),
            value.removed,
            {value.later_bases.begin(), value.later_bases.end()}};
}

raw_row from_wire(const wire::row& value) {
    raw_row out;
    out.key = value.key;
    out.version = {static_cast<std::uint64_t>(value.era),
                   static_cast<std::uint64_t>(value.version),
                   static_cast<std::uint64_t>(value.replaces)};
    out.deleted = value.deleted;
    out.cells = from_wire(value.cells);
    return out;
}

struct message_writer {
    wire::peer_message& out;

    void operator()(const heartbeat& value) const {
        wire::heartbeat beat;
        beat.sender = to_wire(value.sender);
        beat.sequence = static_cast<std::int64_t>(value.sequence);
        beat.table_version = static_cast<std::int64_t>(value.table_version);
        beat.table_age_ms = clamp_ms(value.table_age);
        beat.routes_as_of_ms = to_ms_count(value.routes_as_of);
        beat.routes_as_of_era =
            static_cast<std::int64_t>(value.routes_as_of.era);
        for (const auto& item : value.loads) {
            beat.load_hashes.push_back(
                static_cast<std::int32_t>(item.server_hash));
            beat.load_in_flight.push_back(clamp_count(item.in_flight));
            beat.load_long.push_back(clamp_count(item.long_in_flight));
        }
        for (const auto& item : value.leaving) {
            wire::leaving_server leaving;
            leaving.service_name = item.key.service;
            leaving.backend_server = item.key.backend_server;
            leaving.age_ms = clamp_ms(item.age);
            beat.leaving.push_back(std::move(leaving));
        }
        for (const auto& item : value.members) {
            beat.members.push_back(to_wire(item));
        }
        beat.sharing_instances =
            static_cast<std::int32_t>(value.sharing_instances);
        out.__set_beat(beat);
    }

    void operator()(const table_request& value) const {
        wire::table_request request;
        request.have_version =
            static_cast<std::int64_t>(value.have_version.revision);
        request.have_era = static_cast<std::int64_t>(value.have_version.era);
        request.number = static_cast<std::int64_t>(value.number);
        request.whole = value.include_large_rows;
        request.routes_version =
            static_cast<std::int64_t>(value.routes_version);
        request.failure_domain = value.failure_domain;
        out.__set_request(request);
    }

    void operator()(const table_rows& value) const {
        wire::table_rows rows;
        rows.table_version =
            static_cast<std::int64_t>(value.table_version.revision);
        rows.table_era = static_cast<std::int64_t>(value.table_version.era);
        rows.age_ms = clamp_ms(value.age);
        rows.request_number = static_cast<std::int64_t>(value.request_number);
        rows.more = value.has_more;
        rows.digest = static_cast<std::int64_t>(value.digest);
        if (value.origin) {
            rows.origin.assign(value.origin->bytes.begin(),
                               value.origin->bytes.end());
        }
        for (const auto& item : value.rows) {
            rows.rows.push_back(to_wire(item));
        }
        for (const auto& item : value.deltas) {
            rows.deltas.push_back(to_wire(item));
        }
        rows.left_out = static_cast<std::int32_t>(value.omitted_bytes);
        rows.routes_version = static_cast<std::int64_t>(value.routes_version);
        rows.routes_as_of_ms = to_ms_count(value.routes_as_of);
        rows.routes_as_of_era =
            static_cast<std::int64_t>(value.routes_as_of.era);
        rows.as_of_ms = to_ms_count(value.as_of);
        rows.as_of_era = static_cast<std::int64_t>(value.as_of.era);
        out.__set_rows(rows);
    }

    void operator()(const suspect_report& value) const {
        wire::suspect_report report;
        report.request = static_cast<std::int64_t>(value.request);
        for (const auto& item : value.losses) {
            report.servers.push_back(static_cast<std::int64_t>(item.server));
            report.ages_ms.push_back(clamp_ms(item.age));
            report.refuted.push_back(item.refuted);
        }
        out.__set_suspect(report);
    }
};

suspect_report read_report(const wire::suspect_report& value) {
    if (value.ages_ms.size() != value.servers.size() ||
        value.refuted.size() != value.servers.size()) {
        throw wire_error("lists of lost attempts differ in length");
    }
    suspect_report report{static_cast<std::uint64_t>(value.request), {}};
    for (std::size_t i = 0; i < value.servers.size(); ++i) {
        report.losses.push_back({static_cast<std::uint64_t>(value.servers[i]),
                                 from_ms(value.ages_ms[i]), value.refuted[i]});
    }
    return report;
}

heartbeat read_heartbeat(const wire::heartbeat& value) {
    heartbeat beat;
    beat.sender = from_wire(value.sender);
    beat.sequence = static_cast<std::uint64_t>(value.sequence);
    beat.table_version = static_cast<std::uint64_t>(value.table_version);
    beat.table_age = from_ms(value.table_age_ms);
    beat.routes_as_of =
        to_store_time(value.routes_as_of_ms, value.routes_as_of_era);
    if (value.load_in_flight.size() != value.load_hashes.size() ||
        value.load_long.size() != value.load_hashes.size()) {
        throw wire_error("load lists differ in length");
    }
    for (std::size_t i = 0; i < value.load_hashes.size(); ++i) {
        beat.loads.push_back({static_cast<std::uint32_t>(value.load_hashes[i]),
                              from_count(value.load_in_flight[i]),
                              from_count(value.load_long[i])});
    }
    for (const auto& item : value.leaving) {
        beat.leaving.push_back(
            {{item.service_name, item.backend_server}, from_ms(item.age_ms)});
    }
    for (const auto& item : value.members) {
        beat.members.push_back(from_wire(item));
    }
    beat.sharing_instances = static_cast<std::size_t>(
        std::max<std::int32_t>(0, value.sharing_instances));
    return beat;
}

table_rows read_rows(const wire::table_rows& value) {
    table_rows rows;
    rows.table_version = {static_cast<std::uint64_t>(value.table_era),
                          static_cast<std::uint64_t>(value.table_version)};
    rows.age = from_ms(value.age_ms);
    rows.request_number = static_cast<std::uint64_t>(value.request_number);
    rows.has_more = value.more;
    rows.digest = static_cast<std::uint64_t>(value.digest);
    if (!value.origin.empty()) {
        rows.origin = read_incarnation(value.origin);
    }
    for (const auto& item : value.rows) {
        rows.rows.push_back(from_wire(item));
    }
    for (const auto& item : value.deltas) {
        rows.deltas.push_back(from_wire(item));
    }
    rows.omitted_bytes =
        static_cast<std::size_t>(std::max<std::int32_t>(0, value.left_out));
    rows.routes_version = static_cast<std::uint64_t>(value.routes_version);
    rows.routes_as_of =
        to_store_time(value.routes_as_of_ms, value.routes_as_of_era);
    rows.as_of = to_store_time(value.as_of_ms, value.as_of_era);
    return rows;
}

wire::peer_message parse_message(std::string_view content) {
    auto* bytes = const_cast<char*>(content.data()); // OBSERVE does not write
    const auto buffer = std::make_shared<TMemoryBuffer>(
        reinterpret_cast<std::uint8_t*>(bytes),
        static_cast<std::uint32_t>(content.size()), TMemoryBuffer::OBSERVE);
    compact_protocol protocol(buffer, max_string_bytes, max_container_items);
    wire::peer_message message;
    try {
        message.read(&protocol);
    } catch (const apache::thrift::TException& problem) {
        throw wire_error(std::string("cannot decode message: ") +
                         problem.what());
    }
    return message;
}

} // namespace

std::string encode_message(const peer_message& message, std::string_view key) {
    wire::peer_message out;
    std::visit(message_writer{out}, message);
    const auto buffer = std::make_shared<TMemoryBuffer>();
    compact_protocol protocol(buffer);
    out.write(&protocol);
    const auto content = buffer->getBufferAsString();
    const auto code = compute_mac(key, std::string(message_context) += content);
    return std::string(code.begin(), code.end()) += content;
}

peer_message decode_message(std::string_view bytes, std::string_view key) {
    constexpr auto code_size = sizeof(authentication_code);
    if (bytes.size() < code_size) {
        throw wire_error("message is too short");
    }
    const auto content = bytes.substr(code_size);
    authentication_code received;
    std::copy_n(bytes.begin(), code_size, received.begin());
    const auto expected =
        compute_mac(key, std::string(message_context) += content);
    if (!equal(received, expected)) {
        throw wire_error("message authentication failed");
    }
    const auto message = parse_message(content);
    if (message.version != wire::g_messages_constants.protocol_version) {
        throw wire_error("unsupported protocol version " +
                         std::to_string(message.version));
    }
    if (message.__isset.beat) {
        return read_heartbeat(message.beat);
    }
    if (message.__isset.request) {
        return table_request{
            {static_cast<std::uint64_t>(message.request.have_era),
             static_cast<std::uint64_t>(message.request.have_version)},
            static_cast<std::uint64_t>(message.request.number),
            message.request.whole,
            static_cast<std::uint64_t>(message.request.routes_version),
            message.request.failure_domain};
    }
    if (message.__isset.rows) {
        return read_rows(message.rows);
    }
    if (message.__isset.suspect) {
        return read_report(message.suspect);
    }
    throw wire_error("message has no content");
}

} // namespace lacewingbeam
