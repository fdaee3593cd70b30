#!/bin/sh
# Builds the programs of the scripts in this directory, which contain their
# stand-ins, into review/bin. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
for source in review/[1-9]/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "review/bin/case-$number"
done
