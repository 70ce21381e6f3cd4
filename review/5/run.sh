#!/bin/sh
# Runs case 5. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
RIG_DIR=$(mktemp -d) || exit 2
export RIG_DIR
timeout -k 1 100 target/review-2/stale "$here/record.txt"
code=$?
if [ -f "$RIG_DIR/supervisor.pid" ]; then kill -9 "$(cat "$RIG_DIR/supervisor.pid")" 2>/dev/null; fi
rm -rf "$RIG_DIR"
[ "$code" -le 1 ] || exit 2
exit "$code"
