#!/usr/bin/env bash
# Toplina's deployment on loopback: the platform's stand-ins, three entries, the guards of 10
# grijac-llm and 4 kotlovnica-app targets in four failure domains. Sends real requests, shows the
# answers, the bills and the time line, and stops by itself.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh >/dev/null
cmake --preset release >/dev/null
cmake --build --preset release | tail -1
bin="$PWD/build/release/bin"
. scripts/fleet.sh
trap stop_fleet EXIT

domains=(zg-borongaj zg-sesvete zg-lucko zg-trnje)
echo "== Starting the stand-ins, 3 entries and 14 guards"
start_stand log log
start_stand hosts hosts
start_stand weights weights
start_entry entry1 zagreb zg-borongaj
start_entry entry2 zagreb zg-sesvete
start_entry entry3 zagreb zg-lucko
for number in 1 2 3 4 5 6 7 8 9 10; do
    start_stand "engine$number" engine --seed "$number"
    port="engine${number}_port"
    start_guard "grijac$number" zagreb "${domains[number % 4]}" grijac-llm "${!port}"
done
for number in 1 2 3 4; do
    start_stand "service$number" service
    port="service${number}_port"
    start_guard "kotlovnica$number" zagreb "${domains[number % 4]}" kotlovnica-app "${!port}"
done
for process in entry1 entry2 entry3; do
    wait_for_line "$process" event=entry_active
done
wait_for_line grijac10 event=guard_active
wait_for_line kotlovnica4 event=guard_active

ctl() {
    "$bin/wrenctl" --entry "$entry1_operator" --key "$operator_key" "$@"
}
echo "== Creating services, budgets and client accounts"
ctl <<'SCRIPT'
begin;
create service grijac-llm kind = model;
create service kotlovnica-app kind = plain tokens_per_call = 5 repeatable = false;
commit;
create budget skole limit = 200000;
create budget klinike limit = 50000;
begin;
create client_account skole key = "key-of-the-schools" budget = skole priority = 2;
create client_account klinike key = "key-of-the-clinics" budget = klinike priority = 0;
commit
SCRIPT

ask() {
    curl -sS -N -H "Authorization: Bearer $1" -H 'Content-Type: application/json' "${@:3}" "http://$2"
    echo
}
echo "== A caretaker's question, answered whole"
ask key-of-the-schools "$entry1_caller/v1/chat/completions" -D "$fleet_dir/head" \
    -d '{"model":"grijac-llm","max_tokens":12,"messages":[{"role":"user","content":"Why is room 12 cold?"}]}'
request="$(sed -n 's/^X-Request-Id: \([0-9]*\).*/\1/p' "$fleet_dir/head")"
echo "== A stream of setpoints"
ask key-of-the-clinics "$entry2_caller/v1/chat/completions" \
    -d '{"model":"grijac-llm","max_tokens":4,"stream":true,"messages":[{"role":"user","content":"setpoints"}]}'
echo "== A valve override, sent three times with one key over three entries: it runs once"
for entry in "$entry1_caller" "$entry2_caller" "$entry3_caller"; do
    ask key-of-the-schools "$entry/v1/services/kotlovnica-app/valve/7" \
        -H 'Idempotency-Key: override-7' -d '{"open":20}'
done
for number in 1 2 3 4; do
    port="service${number}_port"
    curl -sS "127.0.0.1:${!port}/counts" | sed "s/^/kotlovnica$number counted: /"
    echo
done
echo "== A wrong key, and a request that the budget cannot pay"
ask nobody "$entry1_caller/v1/chat/completions" -d '{}'
ask key-of-the-clinics "$entry3_caller/v1/chat/completions" \
    -d '{"model":"grijac-llm","max_tokens":60000,"messages":[{"role":"user","content":"too much"}]}'
echo "== The bills, once they are in the ledger"
until [ "$(ctl -o lines -c 'show budget where name = skole columns billed')" != billed=0 ]; do
    sleep 0.2
done
ctl -c 'show budget columns name, limit, billed, burnt, available, held, in_doubt'
echo "== The time line of the first request, over all processes"
ctl --timeline --request "$request"
echo "== Stopping as planned"
