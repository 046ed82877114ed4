#!/usr/bin/env bash
# Plays the fuzz of numbers with gateways and tests that are built with the address and
# undefined-behaviour sanitizers. The first report ends its process and fails the play.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --preset sanitizers >/dev/null
cmake --build --preset sanitizers --target wrengate test_fuzz
# What waits in a loop when a test ends is not freed.
export ASAN_OPTIONS="detect_leaks=0" UBSAN_OPTIONS="halt_on_error=1:print_stacktrace=1"
build/sanitizers/test_fuzz --log_level=warning --color_output=no
