#!/usr/bin/env bash
# Sets up, builds and runs every check and test. Ends with the line "N passed, N failed".
set -uo pipefail
cd "$(dirname "$0")/.."
passed=0
failed=0

# run_step NAME COMMAND...: runs one check and counts it.
run_step() {
    local name="$1"
    shift
    echo "== $name"
    if "$@"; then
        passed=$((passed + 1))
    else
        failed=$((failed + 1))
        echo "FAILED: $name"
    fi
}

# known_red TEST: the cases of a test program that KNOWN-RED.txt lists, a line each.
known_red() {
    [ -e KNOWN-RED.txt ] || return 0
    sed -n "s/^$1:\([^ |]*\).*/\1/p" KNOWN-RED.txt
}

# run_tests NAME: all cases of a test program but for those that are known to be red.
run_tests() {
    local name="$1" all_others=() case
    for case in $(known_red "$name"); do
        all_others+=("--run_test=!$case")
    done
    "build/release/test_$name" --log_level=warning --color_output=no "${all_others[@]}"
}

# print_known_red NAME: runs the known red cases of a test program by themselves. They don't count.
print_known_red() {
    local name="$1" case
    for case in $(known_red "$name"); do
        echo "== known red: $name:$case"
        "build/release/test_$name" --run_test="$case" --log_level=warning --color_output=no ||
            echo "STILL RED: $(grep -F "$name:$case" KNOWN-RED.txt)"
    done
}

check_format() {
    git ls-files '*.cpp' '*.hpp' | xargs clang-format --dry-run --Werror
}

scripts/setup.sh >/dev/null || { echo "The setup failed."; exit 1; }
cmake --preset release >/dev/null &&
    cmake --build --preset release || { echo "0 passed, 1 failed"; exit 1; }

run_step "format" check_format
run_step "lint" scripts/lint.sh
run_step "layers" scripts/check_layers.sh
run_step "examples" scripts/check_examples.sh
run_step "models" scripts/check_models.sh
for test in core decision drivers roles platform soak fuzz live clients; do
    run_step "test $test" run_tests "$test"
    print_known_red "$test"
done
run_step "fuzz with sanitizers" scripts/fuzz_sanitized.sh
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
