#!/bin/sh
# Runs case 6: three small deployments beside each other, each with a supervisor of its own. Exits with 1 if the rule was
# broken in one of them, 0 if it held in all, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
top=$(mktemp -d) || exit 2
for n in 1 2 3; do
    mkdir "$top/$n" || exit 2
    (
        RIG_DIR="$top/$n" SEED="$n" timeout -k 1 115 target/review-2/answers "$top/$n/record.txt"
        echo $? > "$top/$n/code"
        if [ -f "$top/$n/supervisor.pid" ]; then kill -9 "$(cat "$top/$n/supervisor.pid")" 2>/dev/null; fi
    ) > "$top/$n/said" 2>&1 &
done
wait
code=0
: > "$here/record.txt"
for n in 1 2 3; do
    echo "deployment $n"
    cat "$top/$n/said"
    { echo "deployment $n"; cat "$top/$n/record.txt" "$top/$n/said"; } >> "$here/record.txt"
    case $(cat "$top/$n/code") in
        0) ;;
        1) [ "$code" = 2 ] || code=1 ;;
        *) code=2 ;;
    esac
done
rm -rf "$top"
exit "$code"
