# Starts stand-ins, entries and guards on loopback for the demonstration and for measurements.
# To be sourced. Everything that it starts is stopped by stop_fleet, by process number.

fleet_dir="$(mktemp -d)"
stand_pids=()
entry_pids=()
guard_pids=()
operator_key="operator-demo-key"
operator_sha256="$(printf '%s' "$operator_key" | sha256sum | cut -d' ' -f1)"

# start_process NAME COMMAND...: starts a process whose output goes to a file.
start_process() {
    local name="$1"
    shift
    "$@" >"$fleet_dir/$name.log" 2>&1 &
}

# wait_for_line NAME PATTERN: waits until a process has logged a line.
wait_for_line() {
    local tries=0
    until grep -q "$2" "$fleet_dir/$1.log" 2>/dev/null; do
        tries=$((tries + 1))
        if [ "$tries" -gt 300 ]; then
            echo "$1 did not log '$2':" >&2
            tail -5 "$fleet_dir/$1.log" >&2
            return 1
        fi
        sleep 0.1
    done
}

# field_of NAME FIELD: a field of the process's "listening" line.
field_of() {
    grep -m1 'event=listening' "$fleet_dir/$1.log" | sed -n "s/.* $2=\"\?\([^\" ]*\).*/\1/p"
}

# start_stand NAME KIND OPTIONS...: starts a stand-in and sets ${NAME}_port.
start_stand() {
    local name="$1" kind="$2"
    shift 2
    start_process "$name" "$bin/wrenstand" "$kind" "$@"
    stand_pids+=("$!")
    wait_for_line "$name" event=listening
    printf -v "${name}_port" '%s' "$(field_of "$name" ports)"
}

# start_entry NAME REGION DOMAIN [MORE JSON MEMBERS]
start_entry() {
    cat >"$fleet_dir/$1.json" <<JSON
{"host": "$1", "region": "$2", "failure_domain": "$3", "log": "127.0.0.1:$log_port",
 "operator_keys": ["release:$operator_sha256"]${4:+, $4}}
JSON
    start_process "$1" "$bin/wrenentry" --settings "$fleet_dir/$1.json"
    entry_pids+=("$!")
    wait_for_line "$1" event=listening
    printf -v "${1}_caller" '%s' "127.0.0.1:$(field_of "$1" caller_port)"
    printf -v "${1}_operator" '%s' "127.0.0.1:$(field_of "$1" operator_port)"
}

# start_guard NAME REGION DOMAIN SERVICE TARGET_PORT [MORE JSON MEMBERS]
start_guard() {
    cat >"$fleet_dir/$1.json" <<JSON
{"host": "$1", "region": "$2", "failure_domain": "$3", "log": "127.0.0.1:$log_port",
 "service": "$4", "target": "127.0.0.1:$5"${6:+, $6}}
JSON
    start_process "$1" "$bin/wrenguard" --settings "$fleet_dir/$1.json"
    guard_pids+=("$!")
    wait_for_line "$1" event=listening
}

# stop_fleet: stops all as planned, entries and guards before the stand-ins that they report to.
stop_fleet() {
    kill -TERM "${guard_pids[@]}" 2>/dev/null
    wait "${guard_pids[@]}" 2>/dev/null
    kill -TERM "${entry_pids[@]}" 2>/dev/null
    wait "${entry_pids[@]}" 2>/dev/null
    kill -TERM "${stand_pids[@]}" 2>/dev/null
    wait "${stand_pids[@]}" 2>/dev/null
    rm -rf "$fleet_dir"
}
