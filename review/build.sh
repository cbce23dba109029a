#!/usr/bin/env bash
# Builds the stand-ins of the cases into build-review/. Each case's program holds
# its clients, its replicas and its store; no other stand-in is started.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review
rm -f build-review/case* build-review/earlier*
pids=()
for source in review/[1-5]/case.cpp; do
  n=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -pthread -o "build-review/case$n" "$source" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
