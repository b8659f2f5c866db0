#!/usr/bin/env bash
# Shows corneldeck at work on this machine: stand-ins for the platform, three
# entries, three agents, a catalogue, requests, and an agent that stops under
# load. Exits 0 only if all of it was right. See docs/OPERATIONS.md.
set -euo pipefail
cd "$(dirname "$0")/.."

usage() {
  cat << 'EOF'
usage: Utilities/quickstart.sh [--keep] [--bin DIR]

  --keep     leave everything running at the end; says how to use and stop it
  --bin DIR  use the programs in DIR; install and build nothing
EOF
}

Keep=false
Bin=
while [ $# -gt 0 ]; do
  case $1 in
    --keep) Keep=true ;;
    --bin)
      Bin=${2:?--bin needs a folder}
      shift
      ;;
    --help | -h)
      usage
      exit 0
      ;;
    *)
      usage >&2
      exit 2
      ;;
  esac
  shift
done

if [ -z "$Bin" ]; then
  bash Utilities/install-packages.sh
  cmake --preset release > /dev/null
  cmake --build --preset release --target \
    corneldeck-agent corneldeck-entry corneldeck-standin corneldeckctl
  Bin=build/bin
fi
Bin=$(cd "$Bin" && pwd)

Work=$(mktemp -d "${TMPDIR:-/tmp}/corneldeck-quickstart.XXXXXX")
Pids=()
Failures=0
Kept=false

# Ends what was started, by process identifier: first politely, then for good.
clean_up() {
  local Pid
  trap - EXIT INT TERM
  if $Kept; then
    return
  fi
  # The second signal ends a planned stop at once.
  for Pid in "${Pids[@]}"; do kill -TERM "$Pid" 2> /dev/null || true; done
  sleep 0.2
  for Pid in "${Pids[@]}"; do kill -TERM "$Pid" 2> /dev/null || true; done
  for _ in $(seq 20); do
    any_running || break
    sleep 0.1
  done
  for Pid in "${Pids[@]}"; do kill -KILL "$Pid" 2> /dev/null || true; done
  wait 2> /dev/null || true
  if [ "$Failures" -eq 0 ]; then
    rm -rf "$Work"
  else
    echo "Logs and settings are in $Work"
  fi
}

any_running() {
  local Pid
  for Pid in "${Pids[@]}"; do
    if kill -0 "$Pid" 2> /dev/null; then return 0; fi
  done
  return 1
}

running_pids() {
  local Pid List=
  for Pid in "${Pids[@]}"; do
    if kill -0 "$Pid" 2> /dev/null; then List+=" $Pid"; fi
  done
  echo "${List# }"
}

trap clean_up EXIT
trap 'Failures=1; echo "interrupted" >&2; exit 130' INT TERM

step() { printf '\n== %s\n' "$1"; }

fail() {
  echo "FAILED: $1"
  Failures=$((Failures + 1))
}

# check TEXT COMMAND...: prints whether the command succeeded.
check() {
  local Text=$1
  shift
  if "$@"; then echo "ok: $Text"; else fail "$Text"; fi
}

# start NAME PROGRAM ARGUMENT...: runs it in the background with a log of its
# own.
start() {
  local Name=$1
  shift
  "$@" > "$Work/$Name.out" 2> "$Work/$Name.log" &
  Pids+=($!)
  echo "$!" > "$Work/$Name.pid"
}

# wait_for SECONDS COMMAND...: repeats the command until it succeeds.
wait_for() {
  local Left=$(($1 * 10))
  shift
  until "$@" 2> /dev/null; do
    Left=$((Left - 1))
    [ "$Left" -gt 0 ] || return 1
    sleep 0.1
  done
}

port_is_free() { ! (exec 3<> "/dev/tcp/127.0.0.1/$1") 2> /dev/null; }

PortCount=21

# Finds a run of free ports below the range that the kernel hands out.
find_ports() {
  local Base Port
  for _ in $(seq 50); do
    Base=$((20000 + RANDOM % 400 * 25))
    for Port in $(seq "$Base" $((Base + PortCount - 1))); do
      port_is_free "$Port" || continue 2
    done
    echo "$Base"
    return
  done
  return 1
}

Base=$(find_ports) || {
  echo "no $PortCount free ports in a row were found" >&2
  exit 1
}
address() { echo "127.0.0.1:$((Base + $1))"; }
Log=$(address 0)
VmList=$(address 1)
WeightStore=$(address 2)
Engine1=$(address 3)
Engine2=$(address 4)
Service=$(address 5)
EntryControl=("$(address 6)" "$(address 7)" "$(address 8)")
EntryHttp=("$(address 9)" "$(address 10)" "$(address 11)")
Zones=(kadikoy besiktas uskudar)

write_entry_settings() {
  cat > "$Work/entry-$1.yaml" << EOF
node: entry-$1
zone: ${Zones[$(($1 - 1))]}
http_address: ${EntryHttp[$(($1 - 1))]}
control_address: ${EntryControl[$(($1 - 1))]}
log: $Log
entries: [${EntryControl[0]}, ${EntryControl[1]}, ${EntryControl[2]}]
EOF
}

# write_agent_settings NUMBER KIND BACKEND
write_agent_settings() {
  local First=$((12 + ($1 - 1) * 2))
  cat > "$Work/agent-$1.yaml" << EOF
backend_server: backend-$1
zone: ${Zones[$(($1 - 1))]}
link_address: $(address $First)
control_address: $(address $((First + 1)))
http_address: $(address $((17 + $1)))
log: $Log
entries: [${EntryControl[0]}, ${EntryControl[1]}, ${EntryControl[2]}]
backend:
  kind: $2
  address: $3
EOF
}

# backend_server NUMBER: one line of a catalogue entry.
backend_server() {
  local First=$((12 + ($1 - 1) * 2))
  echo "  - {name: backend-$1, link: $(address $First)," \
    "control: $(address $((First + 1))), zone: ${Zones[$(($1 - 1))]}," \
    "capacity: 32, enforces_fencing: true}"
}

write_catalogue() {
  cat > "$Work/catalogue.yaml" << EOF
name: catalogue-writer
owner: vakif
kind: model
class: interactive
customers:
  - {name: auction-floor, requests_per_s: 1000}
backend_servers:
$(backend_server 1)
$(backend_server 2)
weights: {skew: 3, cost: 1}
deadlines: {default_ms: 30000, max_ms: 60000}
idempotent: {default: true}
---
name: remittances
owner: ajoke
kind: service
class: interactive
customers:
  - {name: payroll, requests_per_s: 1000}
backend_servers:
$(backend_server 3)
idempotent: {default: false}
EOF
}

is_ready() { curl -fsS -m 2 -o /dev/null "http://$1/ready"; }

# sees_agents ENTRY: succeeds once the entry is connected to all three.
sees_agents() {
  "$Bin/corneldeckctl" status --entry "$1" --format json |
    jq -e '[.nodes[] | select(.role == "agent" and .ready)] | length == 3' \
      > /dev/null
}

chat_body() {
  jq -nc --arg text "$1" --argjson tokens "$2" \
    '{model: "catalogue-writer", stream: true, max_tokens: $tokens,
      messages: [{role: "user", content: $text}]}'
}

# chat ADDRESS TEXT TOKENS FILE: sends one streamed request.
chat() {
  chat_body "$2" "$3" | curl -sS -N -m 60 -X POST \
    -H 'Content-Type: application/json' -H 'X-Customer: auction-floor' \
    --data-binary @- -o "$4" "http://$1/v1/chat/completions"
}

# is_whole FILE TOKENS: the stream has all its tokens, each once and in order,
# and its end mark.
is_whole() {
  [ "$(tail -n 2 "$1" | head -n 1)" = "data: [DONE]" ] || return 1
  sed -n 's/^data: {/{/p' "$1" |
    jq -c 'select(.token != null) | .token' | cmp -s - <(seq 0 $(($2 - 1)))
}

# remit ADDRESS KEY CREATED FILE: sends a request that must run at most once.
# CREATED, when the key was first used, lets a server that started before then
# be sure that it has not forgotten the key.
remit() {
  curl -sS -m 30 -X POST -H 'Content-Type: application/json' \
    -H 'X-Customer: payroll' -H "Idempotency-Key: $2" \
    -H "Idempotency-Key-Created: $3" \
    -d '{"remittance": "2026-12", "naira": 181000}' -D "$4.head" -o "$4" \
    "http://$1/services/remittances/confirm"
}

agents_are_old() { [ "$(date +%s%3N)" -gt $((AgentsStarted + 5500)) ]; }

# load_worker NUMBER: sends streams one after the other until told to stop.
load_worker() {
  local Count=0
  until [ -e "$Work/stop-load" ]; do
    Count=$((Count + 1))
    chat "${EntryHttp[$((Count % 3))]}" "lot $1-$Count" 60 \
      "$Work/load-$1-$Count" || true
  done
}

step "Start the stand-ins, three entries and three agents"
start standin "$Bin/corneldeck-standin" --log "$Log" --vm-list "$VmList" \
  --weight-store "$WeightStore" --engine "$Engine1" --engine "$Engine2" \
  --service "$Service"
write_agent_settings 1 engine "$Engine1"
write_agent_settings 2 engine "$Engine2"
write_agent_settings 3 service "$Service"
for Number in 1 2 3; do
  write_entry_settings "$Number"
  check "settings of entry-$Number and agent-$Number" eval \
    "'$Bin/corneldeck-entry' --config '$Work/entry-$Number.yaml' --check-config > /dev/null &&
     '$Bin/corneldeck-agent' --config '$Work/agent-$Number.yaml' --check-config > /dev/null"
  start "entry-$Number" "$Bin/corneldeck-entry" --config "$Work/entry-$Number.yaml"
  start "agent-$Number" "$Bin/corneldeck-agent" --config "$Work/agent-$Number.yaml"
done
AgentsStarted=$(date +%s%3N)
for Http in "${EntryHttp[@]}"; do
  check "entry at $Http is ready" wait_for 20 is_ready "$Http"
done
export CORNELDECK_ENTRY=${EntryHttp[0]},${EntryHttp[1]},${EntryHttp[2]}

step "Publish the catalogue"
write_catalogue
check "the file is valid" "$Bin/corneldeckctl" check "$Work/catalogue.yaml"
check "published, and in force at every node" \
  "$Bin/corneldeckctl" publish --wait "$Work/catalogue.yaml"
for Http in "${EntryHttp[@]}"; do
  check "entry at $Http is connected to all agents" wait_for 20 sees_agents "$Http"
done
"$Bin/corneldeckctl" status

step "Ask which address to use from zone kadikoy"
ask_advice() {
  curl -sS -m 5 "http://${EntryHttp[1]}/v1/addresses?zone=kadikoy"
}
knows_all_entries() { ask_advice | jq -e '.addresses | length == 3' > /dev/null; }
check "the asked entry knows all three" wait_for 20 knows_all_entries
Advice=$(ask_advice)
echo "$Advice"
Target=$(jq -r '.addresses[0] // ""' <<< "$Advice")
check "the entry in kadikoy comes first" [ "$Target" = "${EntryHttp[0]}" ]
Target=${Target:-${EntryHttp[0]}}

step "Send a streamed request"
chat "$Target" "a tin robot, boxed" 40 "$Work/stream" || true
grep -o '"content":"[^"]*"' "$Work/stream" | head -n 5 || true
check "40 tokens in order, and the end mark" is_whole "$Work/stream" 40

step "Send a request with an idempotency key twice, at two entries"
echo "An agent takes a key only if it was first used 5 s after the agent's start."
wait_for 20 agents_are_old
Created=$(date +%s%3N)
remit "${EntryHttp[0]}" key-1 "$Created" "$Work/first" || true
remit "${EntryHttp[2]}" key-1 "$Created" "$Work/second" || true
cat "$Work/first" && echo
check "both got an answer" test -s "$Work/first" -a -s "$Work/second"
check "both got the same answer" cmp -s "$Work/first" "$Work/second"
check "the second is marked as a duplicate" \
  grep -qi '^x-corneldeck-duplicate: true' "$Work/second.head"
Runs=$(curl -sS -m 5 "http://$Service/runs" |
  jq '[.runs[] | select(.key == "key-1")] | length')
check "the service ran it once (runs: $Runs)" [ "$Runs" = 1 ]

step "Stop an agent gracefully under load"
Workers=()
for Worker in 1 2 3 4 5 6; do
  load_worker "$Worker" &
  Workers+=($!)
  Pids+=($!)
done
sleep 2
Agent=$(cat "$Work/agent-1.pid")
kill -TERM "$Agent"
Code=0
wait "$Agent" || Code=$?
check "the agent ended by itself (exit code $Code)" [ "$Code" = 0 ]
sleep 1
touch "$Work/stop-load"
wait "${Workers[@]}" || true
Whole=0
Broken=0
for File in "$Work"/load-*; do
  if is_whole "$File" 60; then Whole=$((Whole + 1)); else
    Broken=$((Broken + 1))
    echo "broken: $File"
  fi
done
echo "$Whole whole streams, $Broken broken"
check "load went on, and no stream was cut off" \
  [ "$Whole" -gt 6 -a "$Broken" -eq 0 ]

step "Look at the time line"
"$Bin/corneldeckctl" timeline --format html > "$Work/timeline.html"
Request=$("$Bin/corneldeckctl" timeline --format json |
  jq -r '[.events[] | select(.name == "run-started")][0].fields.request // ""')
"$Bin/corneldeckctl" timeline --request "$Request" || true
Names=$("$Bin/corneldeckctl" timeline --request "$Request" --format json |
  jq -r '[.events[].name] | join(" ")')
check "a request's causes come before its effects" [ \
  "$(tr ' ' '\n' <<< "$Names" |
    grep -E '^(request-accepted|attempt-sent|run-started|request-answered)$' |
    paste -sd' ')" = \
  "request-accepted attempt-sent run-started request-answered" ]

step "Look for faults that a program reported"
no_faults() {
  ! grep -lE 'Sanitizer|runtime error|terminate called|Check failed' \
    "$Work"/*.log
}
check "none" no_faults

step "Result"
if [ "$Failures" -eq 0 ]; then
  echo "All of it was right."
else
  echo "$Failures checks failed."
fi
if $Keep; then
  Kept=true
  cat << EOF
Everything but agent-1 still runs. Settings, logs and the time line's page are
in $Work.
  export CORNELDECK_ENTRY=$CORNELDECK_ENTRY
  $Bin/corneldeckctl status
  curl "http://$Target/v1/addresses?zone=kadikoy"
Stop it with:
  kill $(running_pids)
The entries end once the answers that name them have expired, in 15 s or so.
EOF
fi
[ "$Failures" -eq 0 ]
