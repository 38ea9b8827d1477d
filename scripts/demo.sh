#!/usr/bin/env bash
# Runs a small deployment on loopback: declares, loads, moves, drains, kills a server and a daemon, closes a service,
# and compares the outcomes that callers received with what the backend servers ran.
#   --topology magarini|ocsa   which deployment (magarini)
#   --serve                    leave it running after the declarations are in force; Ctrl-C ends it
#   --no-build                 use build/bin as it is
set -euo pipefail
cd "$(dirname "$0")/.."

topology=magarini
serve=no
build=yes
while [ $# -gt 0 ]; do
  case $1 in
    --topology) topology=${2:-}; shift 2 ;;
    --serve) serve=yes; shift ;;
    --no-build) build=no; shift ;;
    *) echo "usage: scripts/demo.sh [--topology magarini|ocsa] [--serve] [--no-build]" >&2; exit 2 ;;
  esac
done
case $topology in
  magarini)
    zones=(gongoni mpeketoni); regions=(kilifi lamu); base=18400
    first=panboard; first_put=/pans/{key}/readings; prefix=pan-
    second=dispatchbook; second_post=/lorries/{key}/dispatches; second_prefix=lorry- ;;
  ocsa)
    zones=(muscat-a nizwa-a); regions=(muscat dakhiliyah); base=18450
    first=records-desk; first_put=/objects/{key}/treatments; prefix=object-
    second=movements-desk; second_post=/objects/{key}/releases; second_prefix=loan- ;;
  *) echo "unknown topology $topology" >&2; exit 2 ;;
esac
declarations=examples/$topology/demo.ini

if [ "$build" = yes ]; then
  scripts/install_deps.sh
  scripts/build.sh >/dev/null
fi
bin=build/bin
work=$(mktemp -d)
export EELCTL_OPERATOR=mwana EELCTL_TOKEN=demo-token-of-mwana
declare -A pids
status=0

end_all() {
  local pid
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap end_all EXIT
trap 'exit 130' INT TERM

say() { echo "demo: $*" >&2; }
fail() { echo "demo: $*" >&2; status=1; }

platform=127.0.0.1:$base
"$bin/eelstandin" platform --listen "$platform" >"$work/platform.out" 2>&1 &
pids[platform]=$!

# Name, service, zone and address of each declared server.
servers=$(awk '/^\[server /{gsub(/[][]/,"");n=$2} /^service = /{s=$3} /^zone = /{z=$3} /^address = /{print n,s,z,$3}' "$declarations")
while read -r name _ _ address; do
  "$bin/eelstandin" server --name "$name" --listen "$address" --concurrency 2 --work 5 --log "$work/$name.log" \
    >"$work/$name.out" 2>&1 &
  pids[$name]=$!
done <<<"$servers"

daemons=()
declare -A callers operators
for i in 0 1 2 3; do
  zone=${zones[$((i / 2))]}
  name=$zone-$((i % 2 + 1))
  port=$((base + 21 + 3 * i))
  daemons+=("$name")
  callers[$name]=127.0.0.1:$port
  operators[$name]=127.0.0.1:$((port + 2))
  {
    printf '[daemon]\nname = %s\nzone = %s\nregion = %s\n' "$name" "$zone" "${regions[$((i / 2))]}"
    printf 'callers = 127.0.0.1:%d\npeers = 127.0.0.1:%d\noperators = 127.0.0.1:%d\n' $port $((port + 1)) $((port + 2))
    printf 'seeds = 127.0.0.1:%d 127.0.0.1:%d\n' $((base + 22)) $((base + 28))
    printf '[platform]\nstore = %s\nvms = %s\n[operators]\nmwana = %s\n' "$platform" "$platform" "$EELCTL_TOKEN"
  } >"$work/$name.ini"
  "$bin/eelgrasspind" --settings "$work/$name.ini" >"$work/$name.log-daemon" 2>&1 &
  pids[$name]=$!
done

eelctl() {
  local name args=()
  for name in "${daemons[@]}"; do
    kill -0 "${pids[$name]}" 2>/dev/null && args+=(--daemon "${operators[$name]}")
  done
  timeout 180 "$bin/eelctl" "${args[@]}" "$@"
}

# Waits until a command succeeds: wait_for SECONDS WHAT COMMAND...
wait_for() {
  local limit=$1 what=$2 end
  shift 2
  end=$((SECONDS + limit))
  until "$@" >/dev/null 2>&1; do
    if [ $SECONDS -ge $end ]; then
      fail "no $what within $limit s"
      return 1
    fi
    sleep 0.2
  done
}

rows() { eelctl "$@" | tail -n +2; }
all_owned() {
  local service=$1 owned
  owned=$(rows show slots where service = "$service" and phase = owned | wc -l)
  [ "$owned" -eq 1024 ]
}
applied() { eelctl apply "$declarations"; }
fail_with_logs() {
  tail -n 15 "$work"/*.log-daemon >&2 || true
  exit 1
}

eelctl check "$declarations" >&2
wait_for 30 "declarations" applied || fail_with_logs
wait_for 60 "owner for every slot of $first" all_owned "$first" || fail_with_logs
wait_for 60 "owner for every slot of $second" all_owned "$second" || fail_with_logs
say "declarations in force, every slot owned"

if [ "$serve" = yes ]; then
  echo "operator: $EELCTL_OPERATOR token: $EELCTL_TOKEN"
  echo "store and VM list: $platform"
  for name in "${daemons[@]}"; do echo "daemon $name: callers ${callers[$name]} operators ${operators[$name]}"; done
  echo "$servers" | sed 's/^/server: /'
  echo "try: curl -i http://${callers[${daemons[0]}]}/$first${first_put/\{key\}/${prefix}1}"
  echo "     EELCTL_TOKEN=$EELCTL_TOKEN $bin/eelctl --daemon ${operators[${daemons[0]}]} show servers"
  echo "Ctrl-C ends all of it"
  while sleep 3600; do :; done
fi

targets=()
for name in "${daemons[@]}"; do targets+=(--target "${callers[$name]}"); done

# load NAME SECONDS RATE [options]: runs in the background and writes the outcome of each request to NAME.record.
load() {
  local name=$1 length=$2 rate=$3
  shift 3
  "$bin/eelload" "${targets[@]}" --seconds "$length" --warm-up 0 --rate "$rate" --keys 200 --deadline-ms 2000 \
    --record "$work/$name.record" "$@" >"$work/$name.json" 2>"$work/$name.err" &
  pids[$name]=$!
}
load first 24 20 --method PUT --path "/$first$first_put" --key-prefix "$prefix" --body-bytes 64
load second 24 15 --method POST --path "/$second$second_post" --key-prefix "$second_prefix" --body-bytes 64 \
  --idempotency-keys
sleep 2

# Moves a slot to another server of its zone.
read -r _ unit_word slot zone owner _ < <(eelctl owner of "$first" "${prefix}7" | tail -n 1)
[ "$unit_word" = slot ] || fail "owner of ${prefix}7 not shown"
target=$(awk -v s="$first" -v z="$zone" -v o="$owner" '$2 == s && $3 == z && $1 != o {print $1; exit}' <<<"$servers")
eelctl --wait --wait-limit 30s move "$first" slot "$slot" to "$target" >&2 || fail "the move did not finish"
eelctl owner of "$first" "${prefix}7" | tail -n 1 | grep -q " $target " || fail "the slot is not at $target"

# Drains a server, kills another one, then a daemon.
mine=$(awk -v s="$first" -v z="${zones[0]}" '$2 == s && $3 == z {print $1}' <<<"$servers")
drained=$(sed -n 1p <<<"$mine")
killed=$(sed -n 2p <<<"$mine")
eelctl --wait --wait-limit 60s drain server "$drained" within 10s >&2 || fail "the drain did not finish"
say "kill server $killed"
kill -9 "${pids[$killed]}"
no_slots() { [ "$(rows show slots where server = "$killed" | wc -l)" -eq 0 ]; }
wait_for 30 "new owners for the slots of $killed" no_slots || true
wait_for 30 "owner for every slot of $first" all_owned "$first" || true
lost_daemon=${daemons[1]}
say "kill daemon $lost_daemon"
kill -9 "${pids[$lost_daemon]}"
wait_for 30 "recovery after the loss of $lost_daemon" all_owned "$first" || true

# Closes a service while it is under load.
eelctl --wait --wait-limit 90s close service "$second" deadline 60s reason "season ended" >&2 \
  || fail "the closure was not sealed"
wait "${pids[first]}" "${pids[second]}" || fail "the load failed: $(cat "$work"/*.err)"
unset "pids[first]" "pids[second]"

report=broken
if eelctl --json report closure "$second" >"$work/report.json" && eelctl report verify "$work/report.json" >&2; then
  report=verified
fi
eelctl report closure "$second" >&2 || true
eelctl --html "$work/report.html" report closure "$second" >&2 || true
[ "$report" = verified ] || fail "the report does not verify"

metric() {
  local host=${1%:*} port=${1#*:}
  exec 9<>"/dev/tcp/$host/$port" || return 0
  printf 'GET /metrics HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n' "$host" >&9
  awk -v name="eelgrasspin_$2" '$1 == name {print int($2)}' <&9
  exec 9>&-
}
moves=0
for name in "${daemons[@]}"; do
  kill -0 "${pids[$name]}" 2>/dev/null || continue
  moves=$((moves + $(metric "${operators[$name]}" moves_finished_total || echo 0)))
done

# Compares callers' outcomes with the logs of the backend servers, request by request.
for name in $(awk '{print $1}' <<<"$servers"); do [ -f "$work/$name.log" ] && cat "$work/$name.log"; done \
  | sed -n 's/.*[?&]mark=\([^ &]*\).*/\1/p' | sort | uniq -c | awk '{print $2, $1}' >"$work/executed"
sed 's/^/1 /' "$work/first.record" >"$work/told"
sed 's/^/2 /' "$work/second.record" >>"$work/told"
counts=$(awk '
  NR == FNR { ran[$1] = $2; next }
  { kind = $1; mark = $2; outcome = $3 == "not" ? "not_run" : $3; known[mark] = 1; requests++; n = ran[mark] + 0
    if (outcome == "answered") { answered++; if (n == 0) lost++ }
    else if (outcome == "not_run") { not_run++; if (n > 0) false_not_run++ }
    else { unknown++; if (n > 0) unknown_run++ }
    if (kind == 2 && n > 1) duplicated++
    if (n > 0) executed++ }
  END { for (mark in ran) if (!(mark in known)) strangers++
    printf "%d %d %d %d %d %d %d %d %d %d", requests, answered, not_run, unknown, duplicated, lost, false_not_run,
      executed, unknown_run, strangers }' "$work/executed" "$work/told")
read -r requests answered not_run unknown duplicated lost false_not_run executed unknown_run strangers <<<"$counts"
say "executed=$executed answered=$answered unknown_but_run=$unknown_run not_run_that_ran=$false_not_run strangers=$strangers"
[ "$requests" -gt 0 ] || fail "no request was sent"
[ "$duplicated" -eq 0 ] || fail "$duplicated at-most-once operations ran twice"
[ "$lost" -eq 0 ] || fail "$lost answered requests never ran"
[ "$false_not_run" -eq 0 ] || fail "$false_not_run requests told as not run did run"
[ "$strangers" -eq 0 ] || fail "$strangers executions belong to no request"
[ "$executed" -eq $((answered + unknown_run)) ] || fail "executed is not answered + unknown-but-run"

echo "demo: requests=$requests answered=$answered not_run=$not_run unknown=$unknown duplicated=$duplicated lost=$lost moves=$moves report=$report"
exit $status
