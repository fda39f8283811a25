#!/usr/bin/env bash
# Measures fleets of real node processes in four availability zones with the platform stand-in: idle, under release
# notes, and under release notes while a quarter of the nodes is killed and restarted at once. Prints one table for
# each part and size, and keeps the reports as JSON in out/fleet.
#
# Usage: scripts/measure-fleet.sh [SIZE...]        default: 8 32 128
# Environment: IDLE, NOTES, RATE, STORM_NOTES, STORM_RATE, POLL, BASE_PORT
set -euo pipefail
cd "$(dirname "$0")/.."
sizes=("$@")
[ ${#sizes[@]} -gt 0 ] || sizes=(8 32 128)
idle=${IDLE:-30s} notes=${NOTES:-100} rate=${RATE:-2} storm_notes=${STORM_NOTES:-60} storm_rate=${STORM_RATE:-1}
poll=${POLL:-100ms} base=${BASE_PORT:-26000}
zones=(westlands kasarani embakasi langata)
services=(lookup-desk deposit-office sealing-office capsule-registry)
most_nodes=200
out=out/fleet
mkdir -p "$out/bin"
cp bin/monsoonlatchd bin/mlload bin/platform-standin bin/backend-standin "$out/bin" # a build meanwhile changes nothing
export MONSOONLATCH_PLATFORM="http://127.0.0.1:$base"
node_pids=() other_pids=()

stop_all() {
  local all=("${node_pids[@]}" "${other_pids[@]}")
  [ ${#all[@]} -eq 0 ] || kill -KILL "${all[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  node_pids=() other_pids=()
}
trap stop_all EXIT

port() { echo "127.0.0.1:$((base + $1 * most_nodes + $2 + 1))"; } # kind, index

list() { # kind, first, step, end
  local i all=()
  for ((i = $2; i < $4; i += $3)); do all+=("$(port "$1" "$i")"); done
  (IFS=,; echo "${all[*]}")
}

start_node() { # index
  local zone=${zones[$(($1 % 4))]} service=${services[$(($1 / 4 % 4))]}
  "$out/bin/monsoonlatchd" --id "$zone-$1" --service "$service" --availability-zone "$zone" --region nairobi \
    --callers "$(port 1 "$1")" --peers "$(port 2 "$1")" --control "$(port 3 "$1")" --admin "$(port 4 "$1")" \
    --backend-server "$(port 0 "$1")" --platform "$MONSOONLATCH_PLATFORM" --seeds "$seeds" --log-level warn \
    >>"$out/$size-node-$1.log" 2>&1 &
  node_pids[$1]=$!
  disown $!
}

start_backends() { # one process for each service, beside all nodes of the service
  local s i listen admin
  for s in 0 1 2 3; do
    listen="" admin=""
    for ((i = 0; i < size; i++)); do
      [ $((i / 4 % 4)) -eq "$s" ] || continue
      listen+="${listen:+,}$(port 0 "$i")" admin+="${admin:+,}$(port 4 "$i")"
    done
    [ -n "$listen" ] || continue
    "$out/bin/backend-standin" --service "${services[$s]}" --listen "$listen" --node-admin "$admin" >"$out/$size-backend-$s.log" 2>&1 &
    other_pids+=($!)
  done
}

measure() { # part, arguments of mlload
  local part=$1
  shift
  "$out/bin/mlload" convergence --node "$nodes" --poll "$poll" --json "$@" >"$out/$size-$part.json" || echo "the run \"$part\" failed"
}

killed() { # lists a quarter of the nodes, spread over the availability zones
  local i
  for ((i = 0; i < size; i++)); do [ $(((i + i / 4) % 4)) -ne 1 ] || echo "$i"; done
}

storm() { # kills a quarter of the nodes while notes are submitted, and starts them again at the same time
  local i
  sleep 6
  for i in $(killed); do kill -KILL "${node_pids[$i]}"; done
  echo "killed $(killed | wc -l) nodes"
  sleep 3
  for i in $(killed); do start_node "$i"; done
}

run_size() {
  seeds=$(list 3 0 1 "$((size < 4 ? size : 4))") nodes=$(list 4 0 1 "$size")
  rm -f "$out/$size"-*
  "$out/bin/platform-standin" --listen "127.0.0.1:$base" >"$out/$size-platform.log" 2>&1 &
  other_pids+=($!)
  local i
  for ((i = 0; i < size; i++)); do start_node "$i"; done
  start_backends
  sleep 10
  measure first --notes 1
  sleep 15 # leases, membership and connections settle
  measure idle --notes 0 --duration "$idle"
  measure notes --notes "$notes" --rate "$rate" --duration "$idle"
  measure storm --notes "$storm_notes" --rate "$storm_rate" &
  local running=$!
  storm
  wait "$running"
  echo "== $size nodes"
  "$out/bin/mlload" compare "$out/$size-idle.json" "$out/$size-notes.json" "$out/$size-storm.json"
  stop_all
}

echo "machine: $(nproc) cores, $(awk '/MemTotal/ {printf "%.0f GB", $2 / 1e6}' /proc/meminfo), load average $(cut -d' ' -f1-3 /proc/loadavg) at the start"
for size in "${sizes[@]}"; do
  [ "$size" -le "$most_nodes" ] || { echo "size $size is above $most_nodes"; exit 2; }
  available=$(awk '/MemAvailable/ {print int($2 / 1024)}' /proc/meminfo) total=$(awk '/MemTotal/ {print int($2 / 1024)}' /proc/meminfo)
  if [ $((size * 60)) -gt $((total / 2)) ] || [ $((size * 60)) -gt "$available" ]; then
    echo "$size nodes: left out, $available MB of memory are available"
    continue
  fi
  run_size
done
echo "load average at the end: $(cut -d' ' -f1-3 /proc/loadavg)"
