#!/usr/bin/env bash
# Builds the drivers of the second review's cases, with their stand-ins, into
# target/review-2/. Run after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/case.cpp; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -fcoroutines "$source" -o "target/review-2/case-$number" \
    -lboost_json -lpthread
done
