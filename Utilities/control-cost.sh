#!/usr/bin/env bash
# Starts entries and agents as processes of their own on loopback, publishes
# entries that name them, and measures what they cost while no request comes.
#
# usage: Utilities/control-cost.sh ENTRIES AGENTS [CUSTOMERS] [JSON|TEXT]
set -euo pipefail
cd "$(dirname "$0")/.."

Entries=${1:?usage: Utilities/control-cost.sh ENTRIES AGENTS [CUSTOMERS]}
Agents=${2:?usage: Utilities/control-cost.sh ENTRIES AGENTS [CUSTOMERS]}
Customers=${3:-10}
Format=${4:-text}
Bin=build/bin
Work=$(mktemp -d)
Pids=()

clean_up() {
  trap - EXIT
  local Pid
  for Pid in "${Pids[@]}"; do kill -KILL "$Pid" 2> /dev/null || true; done
  wait 2> /dev/null || true
  rm -rf "$Work"
}
trap clean_up EXIT

# Ports lie below the range that outgoing connections take.
Base=$((12000 + RANDOM % 200 * 10))
LogPort=$((Base))
address() { echo "127.0.0.1:$((Base + $1))"; }

seeds() {
  local List= Index
  for Index in $(seq 0 $((Entries > 3 ? 2 : Entries - 1))); do
    List+="${List:+, }$(address $((1000 + Index)))"
  done
  echo "$List"
}

start() {
  "$@" > /dev/null 2>> "$Work/log" &
  Pids+=($!)
}

Zones=(kadikoy besiktas uskudar)
Engines=()
for Index in $(seq 0 $((Agents - 1))); do
  Engines+=(--engine "$(address $((4000 + Index)))")
done
start "$Bin/corneldeck-standin" --log "127.0.0.1:$LogPort" "${Engines[@]}"

for Index in $(seq 0 $((Entries - 1))); do
  cat > "$Work/entry-$Index.yaml" << EOF
node: entry-$Index
zone: ${Zones[$((Index % 3))]}
http_address: $(address $((2000 + Index)))
control_address: $(address $((1000 + Index)))
log: 127.0.0.1:$LogPort
entries: [$(seeds)]
EOF
  start "$Bin/corneldeck-entry" --config "$Work/entry-$Index.yaml"
  echo "entry ${Pids[-1]} $(address $((2000 + Index)))" >> "$Work/processes"
done

{
  printf 'name: model\nowner: bench\nkind: model\nclass: standard\ncustomers:\n'
  for Index in $(seq 1 "$Customers"); do
    printf '  - {name: customer-%s, requests_per_s: 100}\n' "$Index"
  done
  printf 'backend_servers:\n'
} > "$Work/model.yaml"
for Index in $(seq 0 $((Agents - 1))); do
  Zone=${Zones[$((Index % 3))]}
  cat > "$Work/agent-$Index.yaml" << EOF
backend_server: server-$Index
zone: $Zone
link_address: $(address $((5000 + Index)))
control_address: $(address $((6000 + Index)))
http_address: $(address $((3000 + Index)))
log: 127.0.0.1:$LogPort
entries: [$(seeds)]
backend: {kind: engine, address: "$(address $((4000 + Index)))"}
EOF
  printf '  - {name: server-%s, link: %s, control: %s, zone: %s, capacity: 32}\n' \
    "$Index" "$(address $((5000 + Index)))" "$(address $((6000 + Index)))" \
    "$Zone" >> "$Work/model.yaml"
  start "$Bin/corneldeck-agent" --config "$Work/agent-$Index.yaml"
  echo "agent ${Pids[-1]} $(address $((3000 + Index)))" >> "$Work/processes"
done

Published=false
for _ in $(seq 50); do
  if "$Bin/corneldeckctl" publish --entry "$(address 2000)" \
    "$Work/model.yaml" > "$Work/publish" 2>&1; then
    Published=true
    break
  fi
  sleep 0.2
done
if ! $Published; then
  cat "$Work/publish" "$Work/log" >&2
  exit 1
fi
# Connections come up and first exchanges end before the measurement.
sleep 5
CORNELDECK_PROCESSES="$Work/processes" \
  "$Bin/corneldeck-bench" run control-cost --check --format "$Format"
