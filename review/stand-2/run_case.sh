#!/usr/bin/env bash
# run_case.sh STAND-IN CASE-FOLDER: runs a stand-in, which starts wrengate and wrenrelay, in a
# temporary folder. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -uo pipefail
root="$(cd "$(dirname "$0")/../.." && pwd)"
program="$root/target/review-2/$1"
record="$2/record.txt"
rm -f "$record"
if [ ! -x "$program" ] || [ ! -x "$root/target/bin/wrengate" ] || [ ! -x "$root/target/bin/wrenrelay" ]; then
    echo "Run the build of deploy/system.toml and review/build-2.sh first." | tee "$record"
    exit 2
fi
temporary="$(mktemp -d)"
trap 'rm -rf "$temporary"' EXIT
timeout -k 1 115 "$program" "$root/target/bin" "$temporary" "$record" "${TROUBLE:-1}"
result=$?
tail -n 2 "$record"
case "$result" in
    0 | 1) exit "$result" ;;
    *) exit 2 ;;
esac
