// Messages between instances, encoded with Thrift's compact protocol. They are
// sent as UDP datagrams or length-prefixed TCP frames; a message authentication
// code precedes each message.
namespace cpp lacewingbeam.wire

const i16 protocol_version = 1

struct member {
  1: binary incarnation,
  2: string ip,
  3: i32 peer_port,
  4: i32 caller_port,
  5: i32 admin_port,
  6: string failure_domain,
  7: i16 state,
  8: i32 age_ms,
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
  // The sender's own requests in flight per backend server, as three lists of
  // equal length.
  5: list<i32> load_hashes,
  6: list<i16> load_in_flight,
  7: list<i16> load_long,
  8: list<leaving_server> leaving,
  9: list<member> members,
  // The time, by the store's clock, at which the routes of table_version were
  // last known to be the newest.
  10: i64 routes_as_of_ms,
  // The era of the metadata store in which that clock counts.
  11: i64 routes_as_of_era,
  // Number of instances that share common limits, as the sender itself counts.
  12: i32 sharing_instances,
}

struct table_request {
  // Revision of the metadata store, in the era have_era.
  1: i64 have_version,
  2: i64 number,
  // Include large rows in the response.
  3: bool whole,
  // Revision of the routes that the sender holds, or 0.
  4: i64 routes_version,
  // Failure domain of the sender, if only instances in it shall answer.
  5: string failure_domain,
  6: i64 have_era,
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
  // The era of the metadata store that assigned the version, and the highest
  // version of earlier eras that the row replaces.
  5: i64 era,
  6: i64 replaces,
}

// The cells of a row that changed since its base version.
struct row_delta {
  1: string key,
  2: i64 base_version,
  3: i64 version,
  4: list<cell> cells,
  5: list<string> removed,
  // Further versions to which the changes may be applied.
  6: list<i64> later_bases,
}

struct table_rows {
  1: i64 table_version,
  2: i32 age_ms,
  3: list<row> rows,
  4: i64 request_number,
  5: bool more,
  // Digest of all rows that the sender holds; 0 if it holds none.
  6: i64 digest,
  // Incarnation of the instance that read the platform and sends the rows to
  // all peers; empty in a response to a table_request.
  7: binary origin,
  8: list<row_delta> deltas,
  // Total size in bytes of the rows that the sender holds but omitted because
  // of their size.
  9: i32 left_out,
  // Revision of the routes that the sender holds, or 0; the time, by the store's
  // clock, at which they were last known to be the newest; and the same time for
  // all rows.
  10: i64 routes_version,
  11: i64 routes_as_of_ms,
  12: i64 as_of_ms,
  // The eras of the metadata store to which table_version and both times belong.
  13: i64 table_era,
  14: i64 routes_as_of_era,
  15: i64 as_of_era,
}

// What is known against a request that may have crashed backend servers: for
// each lost attempt the run of the server, the time since, and whether it is
// refuted. The lists are of equal length.
struct suspect_report {
  1: i64 request,
  2: list<i64> servers,
  3: list<i32> ages_ms,
  4: list<bool> refuted,
}

struct peer_message {
  1: i16 version = protocol_version,
  2: optional heartbeat beat,
  3: optional table_request request,
  4: optional table_rows rows,
  5: optional suspect_report suspect,
}
