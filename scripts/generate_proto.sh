#!/usr/bin/env bash
# Writes proto/generated anew. Only needed after a change of a .proto file.
set -euo pipefail
cd "$(dirname "$0")/../proto"
protoc --cpp_out=generated log.proto ledger.proto control.proto bus.proto grants.proto relay.proto placement.proto tokens.proto rollout.proto suspects.proto signals.proto shared_reads.proto neighbours.proto streams.proto
