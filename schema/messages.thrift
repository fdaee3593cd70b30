// Messages between instances. Compact protocol, in UDP datagrams and in
// length-prefixed TCP frames, each behind a message authentication code.
namespace cpp lacewingbeam.wire

const i16 protocol_version = 1

struct member {
  1: binary incarnation,
  2: string peer_address,
  3: string caller_address,
  4: string failure_domain,
  5: i16 state,
  6: i32 age_ms,
  7: string admin_address,
}

struct server_load {
  1: i64 server_hash,
  2: i16 in_flight,
  3: i16 long_in_flight,
}

struct leaving_server {
  1: string service_name,
  2: string backend_server,
  3: i32 age_ms,
}

struct heartbeat {
  1: member sender,
  2: i64 sequence,
  3: i64 table_version,
  4: i32 table_age_ms,
  5: list<server_load> loads,
  6: list<leaving_server> leaving,
  7: list<member> members,
}

struct table_request {
  1: i64 have_version,
  2: i64 number,
}

struct cell {
  1: string name,
  2: string value,
}

struct row {
  1: string key,
  2: i64 version,
  3: bool deleted,
  4: list<cell> cells,
}

struct table_rows {
  1: i64 table_version,
  2: i32 age_ms,
  3: list<row> rows,
  4: i64 request_number,
}

struct peer_message {
  1: i16 version = protocol_version,
  2: optional heartbeat beat,
  3: optional table_request request,
  4: optional table_rows rows,
}
