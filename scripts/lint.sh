#!/usr/bin/env bash
# Runs clang-tidy over the project's sources in parallel. A file whose own text, project headers, compile flags
# and lint settings are unchanged since an earlier clean run is skipped.
set -euo pipefail
cd "$(dirname "$0")/.."
export CACHE="${XDG_CACHE_HOME:-$HOME/.cache}/eelgrasspin-lint"
mkdir -p "$CACHE"
export SETTINGS_HASH
SETTINGS_HASH=$(cat .clang-tidy CMakeLists.txt | sha256sum | cut -c1-16)
lint_one() {
  local file=$1 key
  key=$({ echo "$SETTINGS_HASH"; g++ -std=c++20 -Iinclude -Isrc -Iplatform -I. -DEELGRASSPIN_VERSION='""' -MM "$file" \
    | tr -d '\\' | tr ' ' '\n' | grep -E '\.(h|cc)$' | sort -u | xargs sha256sum; } | sha256sum | cut -c1-40)
  [ -e "$CACHE/$key" ] && return 0
  local out
  if out=$(clang-tidy --quiet -p build "$file" 2>/dev/null); then
    touch "$CACHE/$key"
  else
    printf '%s\n' "$out"
    return 1
  fi
}
export -f lint_one
git ls-files -co --exclude-standard -- '*.cc' | xargs -P "${JOBS:-$(nproc)}" -I{} bash -c 'lint_one {}'
