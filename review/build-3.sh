#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15, after the build command of
# deploy/system.toml, from the libraries that it has put into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for case in review/1[1-5]/case.cpp; do
  [ -e "$case" ] || continue
  number=$(basename "$(dirname "$case")")
  g++ -std=c++20 -O1 -I. -Iinclude -Isrc -Iplatform "$case" \
    -o "target/review-3/case-$number" \
    target/libeel_platform.a target/libeel_io.a target/libeel_fleet.a \
    target/libeel_codec.a target/libeel_lang.a target/libeel_config.a \
    target/libeel_core.a -lboost_log -lboost_json -lboost_thread -lxxhash \
    -lpthread
done
