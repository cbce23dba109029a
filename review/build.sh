#!/usr/bin/env bash
# Builds the stand-ins of the cases into build-review/. Each case's program holds
# its clients, its replicas and its store; no other stand-in is started. The
# cases of the earlier review (review/earlier/) are built too.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review
rm -f build-review/case* build-review/earlier*
build() {
  g++ -std=c++20 -O1 -pthread -o "build-review/$2" "$1/case.cpp"
}
pids=()
for folder in review/[1-5] review/earlier/[1-5]; do
  [ -f "$folder/case.cpp" ] || continue
  n=$(basename "$folder")
  case $folder in review/earlier/*) name=earlier$n ;; *) name=case$n ;; esac
  build "$folder" "$name" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
