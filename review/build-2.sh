#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into target/review-2. The
# project's own programs come from the build line of deploy/system.toml, which is run before.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/stand-2/*.cpp; do
    name="$(basename "$source" .cpp)"
    g++ -std=c++17 -O1 -Wall -Wextra -pthread "$source" -o "target/review-2/$name"
done
