#!/usr/bin/env bash
# Measures a frost alarm, a call of the highest priority that may not be repeated, on an idle fleet
# and while its service is asked for more than it can do at a lower priority. Prints two lines of
# JSON. Usage: scripts/measure_alarm.sh SECONDS SEED
set -euo pipefail
cd "$(dirname "$0")/.."
length="$1" seed="$2"
bin="$PWD/build/release/bin"
. scripts/fleet.sh
trap stop_fleet EXIT
start_stand log log
start_entry entry1 zagreb zg-borongaj
start_entry entry2 zagreb zg-sesvete
for number in 1 2; do
    start_stand "service$number" service --duration-ms 20
    port="service${number}_port"
    start_guard "guard$number" zagreb zg-borongaj kotlovnica-app "${!port}" \
        '"limiter": "static", "initial_concurrency": 4'
done
wait_for_line entry2 event=entry_active
wait_for_line guard2 event=guard_active
"$bin/wrenctl" --entry "$entry1_operator" --key "$operator_key" -c '
    create service kotlovnica-app kind = plain tokens_per_call = 1 repeatable = false;
    create budget b limit = 1000000000;
    create client_account a key = "k" budget = b' >/dev/null
sleep 2

alarms() {
    "$bin/wrenload" run -a "$entry1_caller" -a "$entry2_caller" -k k -r 10 -l "$length" -s "$seed" \
        --service-path /v1/services/kotlovnica-app/alarm --priority 0 --keyed |
        tr -d '\n ' | sed 's/"between_pieces_ms.*"outcomes"/"outcomes"/'
    echo
}
echo "idle: $(alarms)"
# Two targets with four calls of 20 ms at a time do 400 a second; 600 are asked for.
"$bin/wrenload" run -a "$entry1_caller" -a "$entry2_caller" -k k -r 600 -l $((length + 4)) \
    -s $((seed + 1)) --service-path /v1/services/kotlovnica-app/other --priority 3 \
    >"$fleet_dir/load.json" &
load="$!"
sleep 2
seed=$((seed + 2))
echo "under full load: $(alarms)"
wait "$load"
echo "the load itself: $(tr -d '\n ' <"$fleet_dir/load.json")"
