#!/usr/bin/env bash
# Runs clang-tidy over all of our sources. Files that have not changed since a clean run are
# remembered by their preprocessed text, so that a second run is quick.
set -uo pipefail
cd "$(dirname "$0")/.."
cache="build/lint"
mkdir -p "$cache"

lint_one() {
    local source="$1" key
    key="$( (cat .clang-tidy "$source"; g++ -std=c++20 -MM -I. -Iinclude -Isrc -Iproto/generated \
        "$source" 2>/dev/null | tr -d '\\' | tr ' ' '\n' | grep -E '^(include|src|proto|platform)/' |
        sort -u | xargs -r cat) | sha256sum | cut -d' ' -f1)"
    if [ -e "$cache/$key" ]; then
        return 0
    fi
    clang-tidy --quiet --extra-arg=-Wno-unknown-warning-option -p build/release "$source" 2>/dev/null && touch "$cache/$key"
}
export -f lint_one
export cache
git ls-files 'src/*.cpp' 'platform/*.cpp' | xargs -P "$(nproc)" -I{} bash -c 'lint_one "$1" || { echo "lint: $1"; exit 1; }' _ {}
