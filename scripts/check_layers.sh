#!/usr/bin/env bash
# Checks that no include points up: core, decision, drivers, then roles, stand and experiment, then
# main. A folder may include itself and what stands before it.
set -uo pipefail
cd "$(dirname "$0")/.."
status=0

# forbid LAYER PATTERN: no file of a layer may include what matches.
forbid() {
    local found
    found="$(git ls-files "src/$1/*" "include/wrenswitch/$1/*" |
        xargs -r grep -nE "#include \"(wrenswitch/)?($2)/" || true)"
    if [ -n "$found" ]; then
        echo "$found"
        status=1
    fi
}

forbid core 'decision|drivers|roles|stand|experiment|main'
forbid decision 'drivers|roles|stand|experiment|main'
forbid drivers 'roles|stand|experiment|main'
forbid roles 'stand|experiment|main'
forbid stand 'roles|experiment|main'
forbid experiment 'roles|main'

# The decision code has no sockets, clocks, threads or generated messages.
if git ls-files 'src/decision/*' 'include/wrenswitch/decision/*' |
    xargs grep -nE 'monotonic_now|\.pb\.h|<thread>|<event2|<zmq|::now\(\)'; then
    echo "The decision code must not use these."
    status=1
fi
exit "$status"
