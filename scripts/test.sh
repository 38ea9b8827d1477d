#!/usr/bin/env bash
# Installs the dependencies, checks the format, builds with warnings as errors, lints and runs every test.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install_deps.sh
scripts/check_platform_names.sh
scripts/format.sh --check
scripts/build.sh
scripts/lint.sh
scripts/run_tests.sh
