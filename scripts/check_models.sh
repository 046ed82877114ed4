#!/usr/bin/env bash
# Runs Spin over the models in spec/. Each proper variant must hold, and each variant that is broken
# on purpose must fail: otherwise the model could not find what it is there to find.
set -uo pipefail
cd "$(dirname "$0")/../spec"
models="$PWD"
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT
status=0

# check MODEL EXPECTED DEFINES...
check() {
    local model="$1" expected="$2" errors
    shift 2
    (cd "$work" && spin -a "$@" "$models/$model" >spin.log 2>&1 &&
        gcc -O2 -w -DSAFETY -DMEMLIM=4096 -DCOLLAPSE -o pan pan.c && ./pan -E -m100000 >pan.log 2>&1)
    errors="$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$work/pan.log" | head -1)"
    local states
    states="$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$work/pan.log" | head -1)"
    local found=holds
    if [ -z "$errors" ] || grep -q "max search depth too small\|out of memory" "$work/pan.log"; then
        found=unfinished
    elif [ "$errors" -gt 0 ]; then
        found=fails
    fi
    echo "$model $* $found ($states states, expected: $expected)"
    [ "$found" = "$expected" ] || status=1
}

. ./checks.sh
exit "$status"
