#!/usr/bin/env bash
# Formats the project's own sources; with --check only reports files that differ.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files -co --exclude-standard -- '*.h' '*.cc')
[ ${#files[@]} -eq 0 ] && exit 0
if [ "${1:-}" = --check ]; then
  clang-format --dry-run --Werror "${files[@]}"
else
  clang-format -i "${files[@]}"
fi
