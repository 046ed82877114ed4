#!/usr/bin/env bash
# Measures what control costs without load: processor time, memory and bytes a second of entries and
# guards, for a number of entries and guards. Prints one line.
# Usage: scripts/measure_idle.sh ENTRIES GUARDS SECONDS
set -euo pipefail
cd "$(dirname "$0")/.."
entries="$1" guards="$2" length="$3"
bin="$PWD/build/release/bin"
. scripts/fleet.sh
trap stop_fleet EXIT
start_stand log log
start_stand engine engine
for ((number = 1; number <= entries; number++)); do
    start_entry "entry$number" zagreb zg-borongaj '"ledger_shards": 128'
done
for ((number = 1; number <= guards; number++)); do
    start_guard "guard$number" zagreb zg-borongaj grijac-llm "$engine_port" '"ledger_shards": 128'
done
wait_for_line "entry$entries" event=entry_active
wait_for_line "guard$guards" event=guard_active
sleep 5
total_ticks() {
    local sum=0 pid
    for pid in "$@"; do
        sum=$((sum + $(awk '{print $14 + $15}' "/proc/$pid/stat")))
    done
    echo "$sum"
}
bytes_of() {
    curl -sS "$1/metrics" | awk '/bus_(sent|received)_bytes|read_bytes_total|append_bytes_total/ && !/#/ {sum += $2} END {printf "%d", sum}'
}
entry_before="$(total_ticks "${entry_pids[@]}")"
guard_before="$(total_ticks "${guard_pids[@]}")"
bytes_before="$(bytes_of "$entry1_operator")"
sleep "$length"
entry_ticks=$(($(total_ticks "${entry_pids[@]}") - entry_before))
guard_ticks=$(($(total_ticks "${guard_pids[@]}") - guard_before))
bytes=$(($(bytes_of "$entry1_operator") - bytes_before))
awk "BEGIN {
    hz = $(getconf CLK_TCK)
    printf \"entries %d guards %d: entry %.2f%% of a core, guard %.2f%% of a core, \",
        $entries, $guards, 100 * $entry_ticks / hz / $length / $entries,
        100 * $guard_ticks / hz / $length / $guards
    printf \"entry %.0f bytes/s, entry memory %d kB, guard memory %d kB\\n\", $bytes / $length,
        $(awk '/VmRSS/ {print $2}' "/proc/${entry_pids[0]}/status"),
        $(awk '/VmRSS/ {print $2}' "/proc/${guard_pids[0]}/status")
}"
