#!/usr/bin/env bash
# Installs what the build and the tests need on Debian 12. Does nothing if it is all there.
set -euo pipefail
packages=(g++ cmake ninja-build ccache pkg-config clang-format clang-tidy
    libevent-dev libevhtp-dev libhttp-parser-dev libzmq3-dev cppzmq-dev libprotobuf-dev libboost-dev
    libboost-test-dev libtclap-dev libeasyloggingpp-dev nlohmann-json3-dev libxxhash-dev
    libssl-dev spin curl)
missing=()
for package in "${packages[@]}"; do
    if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
        missing+=("$package")
    fi
done
if [ "${#missing[@]}" -eq 0 ]; then
    exit 0
fi
as_root=()
if [ "$(id -u)" -ne 0 ]; then
    as_root=(sudo)
fi
"${as_root[@]}" apt-get update -q
"${as_root[@]}" env DEBIAN_FRONTEND=noninteractive \
    apt-get install -y -q --no-install-recommends "${missing[@]}"
