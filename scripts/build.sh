#!/usr/bin/env bash
# Configures and builds into build/. JOBS sets the number of parallel compilers.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -G Ninja >build-configure.log 2>&1 || { cat build-configure.log; rm -f build-configure.log; exit 1; }
rm -f build-configure.log
exec cmake --build build -j "${JOBS:-$(nproc)}"
