#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
number=$(basename "$here")
program=review/bin/case-$number
[ -x "$program" ] && [ -x target/platform/lacewingbeam-router ] || exit 2
files=$(mktemp -d) || exit 2
"$program" "$here" "$files"
status=$?
rm -rf "$files"
case $status in
0 | 1) exit $status ;;
*) exit 2 ;;
esac
