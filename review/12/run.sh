#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
driver="target/review-3/case-$(basename "$folder")"
[ -x "$driver" ] && [ -x target/bin/eelgrasspin-platform ] || exit 2
"$driver" "$folder" &
pid=$!
# The driver ends its routers. It also ends if this shell is killed.
trap 'kill -TERM "$pid" 2>/dev/null' INT TERM HUP
wait "$pid"
code=$?
while kill -0 "$pid" 2>/dev/null; do wait "$pid"; code=$?; done
[ "$code" -le 1 ] || exit 2
exit "$code"
