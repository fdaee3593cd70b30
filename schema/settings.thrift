// Settings of the daemon lacewingbeam-entry. Each struct in entry_settings is
// one INI section. Annotations give unit, range and help; they are checked
// when a settings file is read.
namespace cpp lacewingbeam.settings

struct instance_section {
  1: string address = "127.0.0.1" (kind = "ip", help = "IP address this instance listens on and is reached at"),
  2: i32 caller_port = 8080 (unit = "port", min = "0", max = "65535", help = "TCP port for callers and forwarded calls; 0 lets the kernel choose"),
  3: i32 admin_port = 8081 (unit = "port", min = "0", max = "65535", help = "TCP port for metrics, readiness and the admin API; 0 lets the kernel choose"),
  4: i32 peer_port = 8082 (unit = "port", min = "0", max = "65535", help = "UDP and TCP port for the peer exchange; 0 lets the kernel choose"),
  5: string failure_domain = "" (mandatory = "yes", help = "failure domain this instance runs in"),
}

struct platform_section {
  1: string address = "" (kind = "endpoint", mandatory = "yes", help = "IP:port of the platform's table service, object store and instance list"),
  2: i32 poll_interval = 1000 (unit = "ms", min = "100", max = "5000", help = "time between two reads of the table"),
  3: i32 request_timeout = 1000 (unit = "ms", min = "50", max = "10000", help = "longest wait for one answer of the platform"),
  4: i32 writes_per_second = 10 (unit = "1/s", min = "1", max = "1000", help = "writes this instance may send to the platform each second"),
}

struct peers_section {
  1: string seeds = "" (kind = "endpoints", help = "IP:port of peers to contact first, separated by commas"),
  2: string key_file = "" (help = "file with the key that authenticates peers' messages and tickets; the same on every instance"),
  3: i32 heartbeat_interval = 500 (unit = "ms", min = "50", max = "5000", help = "time between two rounds of heartbeats"),
  4: i32 fan_out = 4 (unit = "count", min = "1", max = "64", help = "peers that get a heartbeat in one round, at least"),
  5: i32 suspect_after = 3000 (unit = "ms", min = "200", max = "60000", help = "silence after which a peer is suspected"),
  6: i32 gone_after = 15000 (unit = "ms", min = "1000", max = "600000", help = "silence after which a peer is forgotten"),
}

struct limits_section {
  1: i32 max_header_bytes = 16384 (unit = "bytes", min = "1024", max = "1048576", help = "largest header of a call"),
  2: i32 max_body_bytes = 1048576 (unit = "bytes", min = "1024", max = "67108864", help = "largest body of a call"),
  3: i32 max_calls = 4096 (unit = "count", min = "1", max = "1000000", help = "calls accepted at one time"),
  4: i32 max_buffered_answer = 262144 (unit = "bytes", min = "4096", max = "16777216", help = "bytes of one answer held for a slow caller"),
  5: i32 max_recorded_answer = 16384 (unit = "bytes", min = "0", max = "1048576", help = "largest answer kept for resends"),
  6: i32 max_operations = 100000 (unit = "count", min = "100", max = "10000000", help = "operations remembered for at-most-once execution"),
  7: i32 idle_caller_timeout = 60 (unit = "s", min = "1", max = "3600", help = "time after which a silent caller connection is closed"),
}

struct backend_section {
  1: i32 connect_timeout = 250 (unit = "ms", min = "10", max = "10000", help = "longest time to open a connection"),
  2: i32 stall_timeout = 10000 (unit = "ms", min = "100", max = "600000", help = "longest silence within an answer that has begun"),
  3: i32 proven_alive = 2000 (unit = "ms", min = "10", max = "60000", help = "a connection that answered this recently may carry non-idempotent work"),
  4: i32 idle_timeout = 30000 (unit = "ms", min = "100", max = "3600000", help = "time after which an unused connection is closed"),
  5: i32 retry_percent = 10 (unit = "%", min = "0", max = "100", help = "retries allowed for each hundred calls"),
  6: i32 hedge_percent = 3 (unit = "%", min = "0", max = "50", help = "hedged reads allowed for each hundred calls"),
  7: string policy = "load_aware" (one_of = "random round_robin least_in_flight power_of_two load_aware", help = "rule that chooses a backend server"),
}

struct tickets_section {
  1: i32 lifetime = 60 (unit = "s", min = "1", max = "3600", help = "time in which a ticket may start an operation"),
  2: i32 retention = 600 (unit = "s", min = "1", max = "86400", help = "time for which an operation is remembered after its ticket expired"),
}

struct log_section {
  1: string level = "info" (one_of = "debug info warning error", help = "least severe event that is written"),
  2: i32 trace_sample = 100 (unit = "1/10000", min = "0", max = "10000", help = "calls without a traceparent that are traced, of ten thousand"),
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

// Settings of the daemon lacewingbeam-router: an entry instance that routes
// by host and path and learns its table from a metadata store.
struct router_section {
  1: string failure_domain = "" (mandatory = "yes", help = "failure domain this instance runs in"),
  2: string callers = "" (kind = "endpoint", mandatory = "yes", help = "IP:port that takes callers' requests"),
  3: string readiness = "" (kind = "endpoint", mandatory = "yes", help = "IP:port that answers whether this instance takes new connections"),
  4: string peers = "" (kind = "endpoint", mandatory = "yes", help = "IP:port of the peer exchange, UDP and TCP"),
  5: string metrics = "" (kind = "endpoint", mandatory = "yes", help = "IP:port of the metrics"),
  6: double stop_grace = 6 (unit = "s", min = "0.5", max = "3600", help = "time between SIGTERM and SIGKILL"),
  7: i32 max_requests = 2000 (unit = "count", min = "1", max = "1000000", help = "requests accepted at one time"),
}

struct store_section {
  1: string address = "" (kind = "endpoint", mandatory = "yes", help = "IP:port of the metadata store"),
  2: i32 read_pause = 550 (unit = "ms", min = "20", max = "5000", help = "pause of a reader between two reads of the changes"),
  3: i32 request_timeout = 600 (unit = "ms", min = "50", max = "10000", help = "longest wait for one answer beyond what it was asked to wait"),
  4: i32 readers = 1 (unit = "count", min = "1", max = "1000", help = "instances that read the store while all is well; the others hear from them"),
  5: i32 silence = 1250 (unit = "ms", min = "50", max = "10000", help = "time without word from a reader after which an instance reads the store itself"),
  7: i32 seed_patience = 30 (unit = "ms", min = "0", max = "60000", help = "time for which an instance that starts waits for its seeds before it reads the store itself"),
  6: i32 return_hold = 2200 (unit = "ms", min = "0", max = "60000", help = "time after the store's return for which entries that lapsed meanwhile are kept"),
}

struct exchange_section {
  1: string seeds = "" (kind = "endpoints", help = "IP:port of peers to contact first, separated by commas"),
  2: string key = "" (mandatory = "yes", help = "text that authenticates peers' messages; the same on every instance"),
  3: i32 heartbeat_interval = 500 (unit = "ms", min = "50", max = "5000", help = "time between two rounds of heartbeats"),
  4: i32 fan_out = 4 (unit = "count", min = "1", max = "64", help = "peers that get a heartbeat in one round, at least"),
  5: i32 suspect_after = 3000 (unit = "ms", min = "200", max = "60000", help = "silence after which a peer is suspected"),
  6: i32 gone_after = 8000 (unit = "ms", min = "1000", max = "600000", help = "silence after which a peer is forgotten"),
}

// Budgets that all instances share; each uses its part of them.
struct budget_section {
  1: double repeat_ratio = 0.2 (unit = "ratio", min = "0", max = "10", help = "sends beyond a request's first, for each request to the service"),
  2: double repeat_slack = 0 (unit = "count", min = "0", max = "1000000", help = "sends beyond that in each window, for all instances"),
  3: double repeat_window = 10 (unit = "s", min = "1", max = "3600", help = "length of the window"),
  4: double probes_per_second = 10 (unit = "1/s", min = "0", max = "10000", help = "probes of one backend server by all instances"),
}

struct placing_section {
  1: string policy = "expected_time" (one_of = "random power_of_two expected_time", help = "rule that chooses a backend server"),
  2: i32 probes = 4 (unit = "count", min = "0", max = "64", help = "backend servers asked for their load before each request, at most"),
  5: i32 first_probes = 1 (unit = "count", min = "1", max = "64", help = "of these, asked first; the others only if no answer is good"),
  3: i32 probe_timeout = 12 (unit = "ms", min = "1", max = "1000", help = "longest wait for these answers"),
  4: double hedge_at = 0.6 (unit = "ratio", min = "0", max = "10", help = "part of the response-time objective after which a repeatable request goes to a second backend server; 0: never"),
}

struct router_settings {
  1: router_section router,
  2: store_section store,
  3: exchange_section peers,
  4: budget_section budgets,
  5: placing_section placing,
  6: log_section log,
}
