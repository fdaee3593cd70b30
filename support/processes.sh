# Shell functions that start stand-ins and instances on loopback and stop them
# by process id. Set $build to the build directory before sourcing.

work_dir=$(mktemp -d)
started_pids=()

stop_all() {
    for pid in "${started_pids[@]}"; do
        kill -TERM "$pid" 2>/dev/null || true
    done
    sleep 0.2
    for pid in "${started_pids[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
    done
    rm -rf "$work_dir"
}
trap stop_all EXIT
trap "exit 143" TERM INT

# start NAME PROGRAM [ARGUMENTS...]: starts a program, waits for its "listening"
# line and sets $started_pid.
start() {
    local name=$1
    shift
    "$@" >"$work_dir/$name.out" 2>"$work_dir/$name.log" &
    started_pid=$!
    started_pids+=("$started_pid")
    for _ in $(seq 200); do
        if grep -q '^listening' "$work_dir/$name.out"; then
            return
        fi
        sleep 0.02
    done
    echo "$name did not start" >&2
    cat "$work_dir/$name.log" >&2
    exit 1
}

# address_of NAME: prints IP:port of a stand-in.
address_of() {
    sed -n 's/^listening //p' "$work_dir/$1.out"
}

# port_of NAME caller|admin|peer: prints one of an instance's addresses as
# IP:port.
port_of() {
    sed -n "s/^listening .*\b$2=\([^ ]*\).*/\1/p" "$work_dir/$1.out"
}

# start_platform NAME
start_platform() {
    start "$1" "$build/test/standin-platform"
}

# start_instance NAME PLATFORM_NAME FAILURE_DOMAIN SEEDS [SETTINGS LINES]
start_instance() {
    if [ ! -f "$work_dir/key" ]; then
        head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$work_dir/key"
    fi
    cat >"$work_dir/$1.ini" <<SETTINGS
[instance]
caller_port = 0
admin_port = 0
peer_port = 0
failure_domain = $3
[platform]
address = $(address_of "$2")
[peers]
seeds = $4
key_file = $work_dir/key
${5:-}
SETTINGS
    start "$1" "$build/src/lacewingbeam-entry" --settings "$work_dir/$1.ini"
}

# wait_ready ADMIN: waits until the instance accepts calls.
wait_ready() {
    for _ in $(seq 200); do
        if [ "$(curl -s -o /dev/null -w '%{http_code}' "$1/ready")" = 200 ]; then
            return
        fi
        sleep 0.05
    done
    echo "instance $1 is not ready" >&2
    exit 1
}

# cpu_seconds PID: prints the processor time used so far.
cpu_seconds() {
    awk -v hz="$(getconf CLK_TCK)" '{print ($14 + $15) / hz}' "/proc/$1/stat"
}

# resident_kb PID: prints the resident memory in KB.
resident_kb() {
    awk '/^VmRSS/ {print $2}' "/proc/$1/status"
}
