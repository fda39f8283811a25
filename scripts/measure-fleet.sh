#!/usr/bin/env bash
# Measures fleets of real node processes in four availability zones with the platform stand-in: while idle, while
# release notes are submitted, and while a quarter of the nodes is killed and restarted at once during submissions.
# Prints one table for each size, with a column for each part, and keeps the reports as JSON in out/fleet.
#
# Usage: scripts/measure-fleet.sh [SIZE...]        default: 8 32 128
# Environment:
#   IDLE                     duration of the idle part, and the minimum for the part with release notes
#   NOTES, RATE              number of release notes in their part, and notes per second
#   STORM_NOTES, STORM_RATE  the same for the part with killed nodes
#   POLL                     time between two polls of a node, which is the resolution of the measured times
#   BASE_PORT                first port of the listeners
set -euo pipefail
cd "$(dirname "$0")/.."
sizes=("$@")
[ ${#sizes[@]} -gt 0 ] || sizes=(8 32 128)
idle=${IDLE:-30s} notes=${NOTES:-100} rate=${RATE:-2} storm_notes=${STORM_NOTES:-60} storm_rate=${STORM_RATE:-1}
poll=${POLL:-100ms} base=${BASE_PORT:-26000}
zones=(westlands kasarani embakasi langata)
services=(lookup-desk deposit-office sealing-office capsule-registry)
max_nodes=200
out=out/fleet
mkdir -p "$out/bin"
# The run uses copies, so that a build during the run has no effect on it.
cp bin/monsoonlatchd bin/mlload bin/platform-standin bin/backend-standin "$out/bin"
export MONSOONLATCH_PLATFORM="http://127.0.0.1:$base"
node_pids=() other_pids=()

stop_all() {
  local all=("${node_pids[@]}" "${other_pids[@]}")
  [ ${#all[@]} -eq 0 ] || kill -KILL "${all[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  node_pids=() other_pids=()
}
trap stop_all EXIT

# Prints the address of a listener. Kinds: 0 backend server, 1 callers, 2 peers, 3 control, 4 admin.
address() { echo "127.0.0.1:$((base + $1 * max_nodes + $2 + 1))"; } # kind, index

addresses() { # kind, first, step, end
  local i all=()
  for ((i = $2; i < $4; i += $3)); do all+=("$(address "$1" "$i")"); done
  (IFS=,; echo "${all[*]}")
}

start_node() { # index
  local zone=${zones[$(($1 % 4))]} service=${services[$(($1 / 4 % 4))]}
  "$out/bin/monsoonlatchd" --id "$zone-$1" --service "$service" --availability-zone "$zone" --region nairobi \
    --callers "$(address 1 "$1")" --peers "$(address 2 "$1")" --control "$(address 3 "$1")" \
    --admin "$(address 4 "$1")" --backend-server "$(address 0 "$1")" --platform "$MONSOONLATCH_PLATFORM" \
    --seeds "$seeds" --log-level warn \
    >>"$out/$size-node-$1.log" 2>&1 &
  node_pids[$1]=$!
  disown $!
}

start_backends() { # starts one process for each service, which listens for all nodes of the service
  local s i listen admin
  for s in 0 1 2 3; do
    listen="" admin=""
    for ((i = 0; i < size; i++)); do
      [ $((i / 4 % 4)) -eq "$s" ] || continue
      listen+="${listen:+,}$(address 0 "$i")" admin+="${admin:+,}$(address 4 "$i")"
    done
    [ -n "$listen" ] || continue
    "$out/bin/backend-standin" --service "${services[$s]}" --listen "$listen" --node-admin "$admin" >"$out/$size-backend-$s.log" 2>&1 &
    other_pids+=($!)
  done
}

measure() { # part, arguments of mlload
  local part=$1
  shift
  "$out/bin/mlload" convergence --node "$nodes" --poll "$poll" --json "$@" >"$out/$size-$part.json" || echo "the measurement \"$part\" failed"
}

nodes_to_kill() { # prints the indexes of a quarter of the nodes, spread over the availability zones
  local i
  for ((i = 0; i < size; i++)); do [ $(((i + i / 4) % 4)) -ne 1 ] || echo "$i"; done
}

restart_storm() { # kills a quarter of the nodes at once while notes are submitted, and restarts them at once
  local i
  sleep 6
  for i in $(nodes_to_kill); do kill -KILL "${node_pids[$i]}"; done
  echo "killed $(nodes_to_kill | wc -l) nodes"
  sleep 3
  for i in $(nodes_to_kill); do start_node "$i"; done
}

run_size() {
  seeds=$(addresses 3 0 1 "$((size < 4 ? size : 4))") nodes=$(addresses 4 0 1 "$size")
  rm -f "$out/$size"-*
  "$out/bin/platform-standin" --listen "127.0.0.1:$base" >"$out/$size-platform.log" 2>&1 &
  other_pids+=($!)
  local i
  for ((i = 0; i < size; i++)); do start_node "$i"; done
  start_backends
  sleep 10
  measure first --notes 1
  sleep 15 # until leases, membership and connections have settled
  measure idle --notes 0 --duration "$idle"
  measure notes --notes "$notes" --rate "$rate" --duration "$idle"
  measure storm --notes "$storm_notes" --rate "$storm_rate" &
  local running=$!
  restart_storm
  wait "$running"
  echo "== $size nodes"
  "$out/bin/mlload" compare "$out/$size-idle.json" "$out/$size-notes.json" "$out/$size-storm.json"
  stop_all
}

echo "machine: $(nproc) cores, $(awk '/MemTotal/ {printf "%.0f GB", $2 / 1e6}' /proc/meminfo), load average $(cut -d' ' -f1-3 /proc/loadavg) at the start"
for size in "${sizes[@]}"; do
  [ "$size" -le "$max_nodes" ] || { echo "size $size is above the limit of $max_nodes nodes"; exit 2; }
  available=$(awk '/MemAvailable/ {print int($2 / 1024)}' /proc/meminfo) total=$(awk '/MemTotal/ {print int($2 / 1024)}' /proc/meminfo)
  if [ $((size * 60)) -gt $((total / 2)) ] || [ $((size * 60)) -gt "$available" ]; then
    echo "$size nodes: skipped, not enough memory ($available MB available)"
    continue
  fi
  run_size
done
echo "load average at the end: $(cut -d' ' -f1-3 /proc/loadavg)"
