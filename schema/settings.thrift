// Settings of the daemon lacewingbeam-entry. Each field of entry_settings is an
// INI section. The annotations give units, allowed values and help texts; values
// are validated against them when a settings file is read.
namespace cpp lacewingbeam.settings

struct instance_section {
  1: string address = "127.0.0.1" (kind = "ip", help = "IP address that this instance listens on and advertises"),
  2: i32 caller_port = 8080 (unit = "port", min = "0", max = "65535", help = "TCP port for callers and forwarded calls; 0: chosen by the kernel"),
  3: i32 admin_port = 8081 (unit = "port", min = "0", max = "65535", help = "TCP port for metrics, readiness and the admin API; 0: chosen by the kernel"),
  4: i32 peer_port = 8082 (unit = "port", min = "0", max = "65535", help = "UDP and TCP port for messages between peers; 0: chosen by the kernel"),
  5: string failure_domain = "" (mandatory = "yes", help = "failure domain in which this instance runs"),
}

struct platform_section {
  1: string address = "" (kind = "endpoint", mandatory = "yes", help = "IP:port of the platform's table service, object store and instance list"),
  2: i32 poll_interval = 1000 (unit = "ms", min = "100", max = "5000", help = "interval between reads of the table"),
  3: i32 request_timeout = 1000 (unit = "ms", min = "50", max = "10000", help = "timeout of a request to the platform"),
  4: i32 writes_per_second = 10 (unit = "1/s", min = "1", max = "1000", help = "maximum rate of writes that this instance sends to the platform"),
}

struct peers_section {
  1: string seeds = "" (kind = "endpoints", help = "comma-separated list of IP:port of the peers to contact first"),
  2: string key_file = "" (help = "file with the key that authenticates peer messages and tickets; must be the same on every instance"),
  3: i32 heartbeat_interval = 500 (unit = "ms", min = "50", max = "5000", help = "interval between heartbeat rounds"),
  4: i32 fan_out = 4 (unit = "count", min = "1", max = "64", help = "minimum number of peers that receive a heartbeat in each round"),
  5: i32 suspect_after = 3000 (unit = "ms", min = "200", max = "60000", help = "time without any news of a peer after which it is suspected"),
  6: i32 gone_after = 15000 (unit = "ms", min = "1000", max = "600000", help = "time without any news of a peer after which it is removed"),
}

struct limits_section {
  1: i32 max_header_bytes = 16384 (unit = "bytes", min = "1024", max = "1048576", help = "maximum size of a call's header"),
  2: i32 max_body_bytes = 1048576 (unit = "bytes", min = "1024", max = "67108864", help = "maximum size of a call's body"),
  3: i32 max_calls = 4096 (unit = "count", min = "1", max = "1000000", help = "maximum number of concurrent calls"),
  4: i32 max_buffered_answer = 262144 (unit = "bytes", min = "4096", max = "16777216", help = "maximum number of response bytes buffered for a slow caller"),
  5: i32 max_recorded_answer = 16384 (unit = "bytes", min = "0", max = "1048576", help = "maximum size of a response that is recorded for resends"),
  6: i32 max_operations = 100000 (unit = "count", min = "100", max = "10000000", help = "maximum number of operations recorded for at-most-once execution"),
  7: i32 idle_caller_timeout = 60 (unit = "s", min = "1", max = "3600", help = "time after which an idle caller connection is closed"),
  8: i32 memory_limit = 160 (unit = "MB", min = "64", max = "1048576", help = "memory of the machine that this process may use; requests and connections of callers are refused or closed before it is exceeded"),
  9: i32 max_connections = 3000 (unit = "count", min = "1", max = "1000000", help = "maximum number of callers' connections; for a new one, the connection that has been silent for longest is closed"),
}

struct backend_section {
  1: i32 connect_timeout = 250 (unit = "ms", min = "10", max = "10000", help = "timeout for opening a connection"),
  2: i32 stall_timeout = 10000 (unit = "ms", min = "100", max = "600000", help = "maximum time without data during a response"),
  3: i32 proven_alive = 2000 (unit = "ms", min = "10", max = "60000", help = "maximum age of a connection's last response for reusing it for a non-idempotent request"),
  4: i32 idle_timeout = 30000 (unit = "ms", min = "100", max = "3600000", help = "time after which an idle connection is closed"),
  5: i32 retry_percent = 10 (unit = "%", min = "0", max = "100", help = "maximum number of retries per 100 calls"),
  6: i32 hedge_percent = 3 (unit = "%", min = "0", max = "50", help = "maximum number of hedged reads per 100 calls"),
  7: string policy = "load_aware" (one_of = "random round_robin least_in_flight power_of_two load_aware", help = "policy for selecting a backend server"),
}

struct tickets_section {
  1: i32 lifetime = 60 (unit = "s", min = "1", max = "3600", help = "time for which a ticket can start an operation"),
  2: i32 retention = 600 (unit = "s", min = "1", max = "86400", help = "time for which an operation is recorded after its ticket has expired"),
}

struct log_section {
  1: string level = "info" (one_of = "debug info warning error", help = "minimum severity of events that are written"),
  2: i32 trace_sample = 100 (unit = "1/10000", min = "0", max = "10000", help = "number of calls in 10000 that are traced if they have no traceparent"),
}

struct entry_settings {
  1: instance_section instance,
  2: platform_section platform,
  3: peers_section peers,
  4: limits_section limits,
  5: backend_section backend,
  6: tickets_section tickets,
  7: log_section log,
}

// Settings of the daemon lacewingbeam-router, an entry instance that routes by
// host and path and reads its table from a metadata store.
struct router_section {
  1: string failure_domain = "" (mandatory = "yes", help = "failure domain in which this instance runs"),
  2: string callers = "" (kind = "endpoint", mandatory = "yes", help = "IP:port that accepts callers' requests"),
  3: string readiness = "" (kind = "endpoint", mandatory = "yes", help = "IP:port of the readiness check: whether this instance accepts new connections"),
  4: string peers = "" (kind = "endpoint", mandatory = "yes", help = "IP:port for messages between peers, UDP and TCP"),
  5: string metrics = "" (kind = "endpoint", mandatory = "yes", help = "IP:port that serves the metrics"),
  6: double stop_grace = 6 (unit = "s", min = "0.5", max = "3600", help = "time between SIGTERM and SIGKILL"),
  7: i32 max_requests = 2000 (unit = "count", min = "1", max = "1000000", help = "maximum number of concurrent requests"),
  8: string source_ip = "" (kind = "ip", help = "IP address from which connections to backend servers and other instances are made; default: chosen by the system"),
  9: i32 memory_limit = 160 (unit = "MB", min = "64", max = "1048576", help = "memory of the machine that this process may use; requests and connections of callers are refused or closed before it is exceeded"),
  10: i32 max_connections = 3000 (unit = "count", min = "1", max = "1000000", help = "maximum number of callers' connections; for a new one, the connection that has been silent for longest is closed"),
}

struct store_section {
  1: string address = "" (kind = "endpoint", mandatory = "yes", help = "IP:port of the metadata store"),
  2: i32 read_pause = 550 (unit = "ms", min = "20", max = "5000", help = "time that a reader waits between reads of the store's changes"),
  3: i32 request_timeout = 600 (unit = "ms", min = "50", max = "10000", help = "timeout of a store request, in addition to the wait time that the request asks for"),
  4: i32 readers = 1 (unit = "count", min = "1", max = "1000", help = "number of instances that read the store in normal operation; they send the changes to the others"),
  5: i32 silence = 1250 (unit = "ms", min = "50", max = "10000", help = "time without a message from a reader after which an instance reads the store itself"),
  8: i32 max_routes_age = 2000 (unit = "ms", min = "100", max = "600000", help = "time since the routes were last known to be the newest after which requests are rejected, unless the store answers no instance"),
  7: i32 seed_patience = 30 (unit = "ms", min = "0", max = "60000", help = "time that a starting instance waits for its seeds before it reads the store itself"),
  6: i32 return_hold = 2200 (unit = "ms", min = "0", max = "60000", help = "time for which entries that expired during a store outage are kept after the store is available again"),
}

struct exchange_section {
  1: string seeds = "" (kind = "endpoints", help = "comma-separated list of IP:port of the peers to contact first"),
  2: string key = "" (mandatory = "yes", help = "key that authenticates peer messages; must be the same on every instance"),
  3: i32 heartbeat_interval = 500 (unit = "ms", min = "50", max = "5000", help = "interval between heartbeat rounds"),
  4: i32 fan_out = 4 (unit = "count", min = "1", max = "64", help = "minimum number of peers that receive a heartbeat in each round"),
  5: i32 suspect_after = 3000 (unit = "ms", min = "200", max = "60000", help = "time without any news of a peer after which it is suspected"),
  6: i32 gone_after = 8000 (unit = "ms", min = "1000", max = "600000", help = "time without any news of a peer after which it is removed"),
}

// Budgets for all instances together; each instance uses its share.
struct budget_section {
  1: double repeat_ratio = 0.2 (unit = "ratio", min = "0", max = "10", help = "maximum number of additional attempts per request to the service"),
  2: double repeat_slack = 0 (unit = "count", min = "0", max = "1000000", help = "additional attempts allowed on top of that in each window, for all instances together"),
  3: double repeat_window = 10 (unit = "s", min = "1", max = "3600", help = "length of the window of repeat_ratio and repeat_slack"),
  4: double probes_per_second = 10 (unit = "1/s", min = "0", max = "10000", help = "maximum probe rate of one backend server, for all instances together"),
}

struct placing_section {
  1: string policy = "expected_time" (one_of = "random power_of_two expected_time", help = "policy for selecting a backend server"),
  2: i32 probes = 4 (unit = "count", min = "0", max = "64", help = "maximum number of backend servers probed for their load before each request"),
  5: i32 first_probes = 1 (unit = "count", min = "1", max = "64", help = "how many of these are probed first; the others follow only if no response is good enough"),
  3: i32 probe_timeout = 12 (unit = "ms", min = "1", max = "1000", help = "timeout of these probes"),
  4: double hedge_at = 0.6 (unit = "ratio", min = "0", max = "10", help = "fraction of the response-time objective after which a repeatable request is hedged to a second backend server; 0: never"),
}

struct router_settings {
  1: router_section router,
  2: store_section store,
  3: exchange_section peers,
  4: budget_section budgets,
  5: placing_section placing,
  6: log_section log,
}
