#!/usr/bin/env bash
# Plays the case, with its disruption unless TROUBLE=0. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case couldn't run. What was sent, answered and run stands in record.txt beside this
# file.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
record="$PWD/review/6/record.txt"
program="$PWD/target/review-2/streams_after_kill"
rm -f "$record"
if [ ! -x "$program" ] || [ ! -x target/bin/wrengate ] || [ ! -x target/bin/wrenrelay ]; then
    echo "Run the build of deploy/system.toml and review/build-2.sh first." | tee "$record"
    exit 2
fi
temporary="$(mktemp -d)"
trap 'rm -rf "$temporary"' EXIT
# At the limit the stand-in ends, and with it all processes that it started.
timeout -k 1 115 "$program" "$PWD/target/bin" "$temporary" "$record" "${TROUBLE:-1}"
result=$?
[ -s "$record" ] || echo "The case couldn't run: the stand-in ended with $result." > "$record"
tail -n 1 "$record"
[ "$result" -le 1 ] || result=2
exit "$result"
