#!/usr/bin/env bash
# Checks every settings file in examples/ with the binary that it is for.
set -uo pipefail
cd "$(dirname "$0")/.."
status=0
for file in examples/*/*.json; do
    case "$file" in
        */entry*.json) binary=wrenentry ;;
        */gateway/gateway*.json) binary=wrengate ;;
        */gateway/relay*.json) binary=wrenrelay ;;
        *) binary=wrenguard ;;
    esac
    "build/release/bin/$binary" --settings "$file" --check || status=1
done
exit "$status"
