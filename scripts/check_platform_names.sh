#!/usr/bin/env bash
# Only platform/ may contain the platform's names: fails if the product's sources contain one.
set -euo pipefail
cd "$(dirname "$0")/.."
names='X-Eelgrasspin-|/objects/|"(listeners|clusters|coldLeftS|sloS|timeoutS|holdS|baseVer|maxConns|waitMs)"|getenv.*EELGRASSPIN_CONFIG|platform\.platform|terms\.bounds'
if grep -nE "$names" -r include src tools bench; then
  echo "names of the platform outside platform/" >&2
  exit 1
fi
