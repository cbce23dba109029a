#!/usr/bin/env bash
# Builds the cases of review/6 and later, into build-review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for source in review/6/case.cpp review/7/case.cpp review/8/case.cpp \
  review/9/case.cpp review/10/case.cpp; do
  if [ -f "$source" ]; then
    n=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O2 -Wall -Wextra -pthread "$source" \
      -o "build-review-2/case-$n"
  fi
done
