#!/usr/bin/env bash
# Builds the stand-ins and the programs of cases 6 to 10 into target/review-2.
# Needs only packages that the deploy file lists.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Itest/standins -Itest/users_platform -Ireview/stand-ins-2)
read -ra libraries <<<"$(pkg-config --cflags --libs libevent tclap)"
build() {
    g++ "${flags[@]}" -o "$out/$1" "${@:2}" "${libraries[@]}" -pthread
}
build standin-store test/users_platform/store.cpp test/standins/json_server.cpp &
build standin-routed-server test/users_platform/routed_server.cpp \
    test/standins/json_server.cpp &
for source in review/*/program.cpp; do
    number=$(basename "$(dirname "$source")")
    if ((number >= 6 && number <= 10)); then
        build "case-$number" "$source" &
    fi
done
for job in $(jobs -p); do
    wait "$job"
done
