#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review, against the libraries that the deploy file's
# build has put into target.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=target/review
mkdir -p "$folder"
flags=(-std=c++20 -O1 -Wall -Wextra -Ireview -Iinclude -I. -Isrc -Itests -isystem proto/generated)
libraries=(-Ltarget -lwren_drivers -lwren_decision -lwren_core -lwren_proto -lwren_easylogging
    -levent -levent_openssl -lzmq -lprotobuf -lhttp_parser -levhtp -lxxhash -lssl -lcrypto -lpthread)
g++ "${flags[@]}" -c tests/platform/store_standin.cpp -o "$folder/store_standin.o"
g++ "${flags[@]}" -c tests/support/child_process.cpp -o "$folder/child_process.o"
for source in review/[0-9]/case.cpp; do
    number="$(basename "$(dirname "$source")")"
    g++ "${flags[@]}" "$source" "$folder/store_standin.o" "$folder/child_process.o" \
        -o "$folder/case$number" "${libraries[@]}"
done
