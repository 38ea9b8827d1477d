#!/usr/bin/env bash
# Builds the stand-ins and clients that the scripts of the review start, into
# target/review/. Needs g++ and libboost-json1.81-dev, as the deploy file does.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" \
    -o "target/review/case$number" -lboost_json
done
