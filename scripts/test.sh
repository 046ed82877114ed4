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
for test in core decision drivers roles platform soak live; do
    run_step "test $test" build/release/test_$test --log_level=warning --color_output=no
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
