#!/usr/bin/env bash
# Runs nodes in four availability zones, with stand-ins for the platform and the backend servers, as separate processes.
# Sends load of several ranks through the nodes, changes the configuration and drains a backend server meanwhile, and
# prints the results. Exits 0 if no request was lost, truncated or run twice, and both notes came into force on every
# node.
set -euo pipefail
cd "$(dirname "$0")/.."
out=out/demo
rm -rf "$out" && mkdir -p "$out"
zones=(westlands kasarani embakasi langata)
services=(lookup-desk deposit-office sealing-office)
platform=127.0.0.1:21000
pids=()

stop_all() {
  [ ${#pids[@]} -eq 0 ] || kill -TERM "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
}
trap stop_all EXIT

start() { # name, command...
  local name=$1
  shift
  "$@" >"$out/$name.log" 2>&1 &
  pids+=($!)
}

# Prints the address of a listener. Kinds: 1 callers, 2 peers, 3 control, 4 admin, 5 backend server.
address() { echo "127.0.0.1:$((21000 + $1 * 100 + $2))"; } # kind, index

start platform bin/platform-standin --listen "$platform"
seeds="$(address 3 0),$(address 3 3),$(address 3 6),$(address 3 9)"
targets="" backends="" index=0
for zone in "${zones[@]}"; do
  for service in "${services[@]}"; do
    start "node-$index" bin/monsoonlatchd --id "$zone-$service" --service "$service" --availability-zone "$zone" \
      --region nairobi --callers "$(address 1 $index)" --peers "$(address 2 $index)" --control "$(address 3 $index)" \
      --admin "$(address 4 $index)" --backend-server "$(address 5 $index)" --platform "http://$platform" \
      --seeds "$seeds" --membership-lag 4s
    start "backend-$index" bin/backend-standin --listen "$(address 5 $index)" --service "$service" \
      --node-admin "$(address 4 $index)" --node-callers "$(address 1 $index)" --shed
    targets+="${targets:+,}$(address 1 $index)"
    backends+="${backends:+,}$(address 5 $index)"
    index=$((index + 1))
  done
done
last=$((index - 1))

export MONSOONLATCH_PLATFORM="http://$platform"
failed=0

submit() { # file
  local started ended
  started=$(date +%s%N)
  bin/monsoonlatch note submit "$1" --wait 15s >>"$out/submit.log" 2>&1 || failed=1
  ended=$(date +%s%N)
  echo "in force on every node $(((ended - started) / 1000000)) ms after submitting $1"
}

wait_ready() { # waits about 15 s at most for each node to be ready with a settled membership
  local i
  for i in $(seq 0 $last); do
    for _ in $(seq 150); do
      curl -sf "http://$(address 4 "$i")/healthz" >/dev/null &&
        curl -s "http://$(address 4 "$i")/v1/state" | grep -q '"membershipSettled":true' && continue 2
      sleep 0.1
    done
    echo "node $i did not become ready; see $out/node-$i.log"
    return 1
  done
}

control_bytes() { # prints the sum of the control bytes that all nodes have sent and received
  local i total=0 n
  for i in $(seq 0 $last); do
    n=$(curl -s "http://$(address 4 "$i")/metrics" | tr -d ' \n' |
      grep -o '"control\.[a-z.]*bytes_[a-z]*":{"count":[0-9]*' | awk -F: '{s += $NF} END {print s + 0}')
    total=$((total + n))
  done
  echo "$total"
}

wait_nodes() { # waits about 15 s at most until the relays report all nodes
  local n
  for _ in $(seq 150); do
    n=$(bin/monsoonlatch nodes --json 2>/dev/null | grep -c '"id":' || true)
    [ "$n" -gt "$last" ] && return 0
    sleep 0.1
  done
  echo "the relays report $n of $((last + 1)) nodes"
}

wait_nodes
echo "== $((last + 1)) nodes in ${#zones[@]} availability zones, one backend server each"
submit examples/nairobi/01-initial.yaml
wait_ready
echo "== load of several ranks, with a flood of archive listings, through every node"
before=$(control_bytes)
started=$(date +%s)
bin/mlload run --profile examples/load/demo.yaml --target "$targets" --counts "$backends" >"$out/load.txt" 2>&1 &
load=$!
sleep 3
submit examples/nairobi/02-school-term.yaml
sleep 1
curl -s -X POST "http://$(address 5 0)/_standin/drain" >/dev/null
echo "draining the backend server of node ${zones[0]}-${services[0]}"
wait $load || failed=1
cat "$out/load.txt"
seconds=$(($(date +%s) - started))
after=$(control_bytes)
echo "control bytes: $(((after - before) / 2 / (last + 1) / seconds)) per second and node, each byte counted once"
bin/monsoonlatch note status || failed=1
if grep -hE '"level":"(panic|fatal)"|^panic:' "$out"/*.log; then failed=1; fi
[ $failed -eq 0 ] && echo "demo: ok" || echo "demo: failed; see the logs in $out"
exit $failed
