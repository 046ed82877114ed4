#!/usr/bin/env bash
# Measures what the fleet adds to a target's own latency, in one run: the same open-loop load goes
# through one entry and one guard a target, and straight to the targets. Prints JSON and the
# processor time and memory of each process.
# Usage: scripts/measure_path.sh RATE SECONDS SEED [MORE wrenload OPTIONS]
set -euo pipefail
cd "$(dirname "$0")/.."
rate="$1" length="$2" seed="$3"
shift 3
bin="$PWD/build/release/bin"
. scripts/fleet.sh
trap stop_fleet EXIT
fast_engine=(--step-us 500 --sequence-us 2 --prompt-token-us 0 --batch 1000 --longest-answer 4)

start_stand log log
start_entry entry1 zagreb zg-borongaj
for number in 1 2 3 4; do
    start_stand "engine$number" engine --seed "$number" "${fast_engine[@]}"
    port="engine${number}_port"
    start_guard "guard$number" zagreb zg-borongaj grijac-llm "${!port}" \
        '"limiter": "static", "initial_concurrency": 1000, "most_concurrency": 1000, "queue_length": 10000'
done
wait_for_line entry1 event=entry_active
wait_for_line guard4 event=guard_active
"$bin/wrenctl" --entry "$entry1_operator" --key "$operator_key" -c '
    create service grijac-llm kind = model; create budget b limit = 1000000000;
    create client_account a key = "k" budget = b' >/dev/null

# used PID: processor time in ticks and memory in kB.
used() {
    awk '{print $14 + $15}' "/proc/$1/stat"
}
memory() {
    awk '/VmRSS/ {print $2}' "/proc/$1/status"
}
"$bin/wrenload" run -a "$entry1_caller" -k k -r 50 -l 2 -s 99 --max-tokens 4 >/dev/null
entry_before="$(used "${entry_pids[0]}")"
guard_before="$(used "${guard_pids[0]}")"
echo '{"through_the_fleet":'
"$bin/wrenload" run -a "$entry1_caller" -k k -r "$rate" -l "$length" -s "$seed" --max-tokens 4 "$@"
entry_ticks=$(($(used "${entry_pids[0]}") - entry_before))
guard_ticks=$(($(used "${guard_pids[0]}") - guard_before))
echo ', "direct":'
"$bin/wrenload" run -a "127.0.0.1:$engine1_port" -a "127.0.0.1:$engine2_port" \
    -a "127.0.0.1:$engine3_port" -a "127.0.0.1:$engine4_port" \
    -r "$rate" -l "$length" -s "$seed" --max-tokens 4 "$@"
requests="$(awk "BEGIN {print $rate * $length}")"
awk "BEGIN {
    tick = 1e6 / $(getconf CLK_TCK)
    printf \", \\\"entry_cpu_us_a_request\\\": %.0f, \\\"guard_cpu_us_a_request\\\": %.0f,\\n\",
        $entry_ticks * tick / $requests, $guard_ticks * tick / ($requests / 4)
    printf \"\\\"entry_memory_kb\\\": %d, \\\"guard_memory_kb\\\": %d}\\n\",
        $(memory "${entry_pids[0]}"), $(memory "${guard_pids[0]}")
}"
