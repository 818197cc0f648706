#!/usr/bin/env bash
# Runs one user's scenario against three nodes, the stand-in platform and the stand-in fleet, and injects one failure
# during the run. All of them run as separate processes on loopback. The script stops only processes that it started, by
# process id.
#
#   scripts/trial.sh USER FAILURE [SECONDS]
#
# USER     instituto or asociacion
# FAILURE  none, term-node, kill-node, kill-engine, outage-kill-owner or freeze-owner
# SECONDS  duration of the load, 60 by default; the failure is injected after a third of it
#
# Results are written to OUT (default bin/trial/USER-FAILURE): result.json, events.txt, and the nodes' logs, settings and
# metrics.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/processes.sh

user=${1:?user: instituto or asociacion}
failure=${2:?failure: none, term-node, kill-node, kill-engine, outage-kill-owner or freeze-owner}
seconds=${3:-60}
out=${OUT:-bin/trial/$user-$failure}
binary=${BINARY:-bin/wigeonshift}
platform=127.0.0.1:7400
freeze_seconds=8
outage_seconds=10

case $user in
instituto) region=costa-sur zones=(champerico sipacate iztapa) pool=instituto/assistant engine=engine-01 ;;
asociacion) region=lima zones=(miraflores surquillo san-isidro) pool=asociacion/advisory engine=engine-1 ;;
*) echo "unknown user $user" >&2 && exit 2 ;;
esac
case $failure in
none | term-node | kill-node | kill-engine | outage-kill-owner | freeze-owner) ;;
*) echo "unknown failure $failure" >&2 && exit 2 ;;
esac

mkdir -p "$out"
[[ -x $binary ]] || make build
pids=()
nodes=()

# stop_all stops all processes that this script started. It resumes suspended nodes first, and stops the nodes before the
# stand-ins because a node needs them for its handover.
stop_all() {
  local p
  for p in "${nodes[@]}"; do kill -CONT "$p" 2>/dev/null || true; done
  stop_processes "${nodes[@]}"
  stop_processes "${pids[@]}"
}
trap stop_all EXIT

# log_event prints an event with its time and appends it to events.txt.
log_event() {
  echo "$(date +%T) $*" | tee -a "$out/events.txt"
}

# set_faults replaces the active faults of the stand-in platform.
set_faults() {
  curl -sf -X POST "http://$platform/standin/faults" -H 'Content-Type: application/json' -d "$1" >/dev/null
}

# write_settings writes the settings file of one node, based on the example settings.
write_settings() {
  local i=$1 file=$2
  sed -e "s/^id = .*/id = \"node-$i\"/" -e "s/^zone = .*/zone = \"${zones[$((i - 1))]}\"/" -e "s/^region = .*/region = \"$region\"/" \
    -e "s/127\.0\.0\.1:8080/127.0.0.1:808$i/" -e "s/127\.0\.0\.1:7100/127.0.0.1:710$i/" \
    -e "s/127\.0\.0\.1:7200/127.0.0.1:720$i/" -e "s/127\.0\.0\.1:7300/127.0.0.1:730$i/" \
    -e "s/^address = .*/address = \"$platform\"/" -e 's/^announce = .*/announce = true/' -e '/^keys = \[\]/d' \
    docs/wigeonshift.example.toml >"$file"
  printf '\n[[operator.keys]]\n%s\n' "$operator_entry" >>"$file"
}

# find_owner prints the number of the node that owns a shard of the user's model pool.
find_owner() {
  local i
  for i in 1 2 3; do
    if "$binary" status --operator "http://127.0.0.1:720$i" --json 2>/dev/null | grep -q "\"shard\": \"$pool"; then
      echo "$i"
      return
    fi
  done
  return 1
}

# inject_failure injects the selected failure.
inject_failure() {
  local i
  case $failure in
  none) ;;
  term-node)
    i=$(find_owner)
    log_event "sending SIGTERM to node-$i, an owner of $pool"
    kill -TERM "${nodes[$((i - 1))]}"
    ;;
  kill-node)
    i=$(find_owner)
    log_event "sending SIGKILL to node-$i, an owner of $pool"
    kill -KILL "${nodes[$((i - 1))]}"
    ;;
  kill-engine)
    log_event "sending SIGKILL to $engine"
    kill -KILL "$engine_pid"
    ;;
  outage-kill-owner)
    i=$(find_owner)
    log_event "starting a platform outage of $outage_seconds s"
    set_faults '{"outage":true}'
    sleep 2
    log_event "sending SIGKILL to node-$i, an owner of $pool"
    kill -KILL "${nodes[$((i - 1))]}"
    sleep $((outage_seconds - 2))
    set_faults '{}'
    log_event "platform outage ended"
    ;;
  freeze-owner)
    i=$(find_owner)
    log_event "sending SIGSTOP to node-$i, an owner of $pool"
    kill -STOP "${nodes[$((i - 1))]}"
    sleep $freeze_seconds
    kill -CONT "${nodes[$((i - 1))]}"
    log_event "sent SIGCONT to node-$i"
    ;;
  esac
}

: >"$out/events.txt"
log_event "load average $(cut -d' ' -f1-3 /proc/loadavg)"
keygen=$("$binary" config keygen --operator trial --role editor --json)
# json_field prints a string field of the keygen output.
json_field() { sed -n "s/.*\"$1\": *\"\([^\"]*\)\".*/\1/p" <<<"$keygen"; }
WIGEONSHIFT_OPERATOR_KEY=$(json_field key)
export WIGEONSHIFT_OPERATOR_KEY
operator_entry=$(printf 'name = "trial"\nrole = "editor"\nsalt = "%s"\nhash = "%s"' "$(json_field salt)" "$(json_field hash)")

start_process platform "$binary" standin platform --address "$platform"
start_process fleet "$binary" standin fleet "scenarios/$user.json" --except "$engine"
start_process engine "$binary" standin fleet "scenarios/$user.json" --only "$engine"
engine_pid=$!
wait_for curl -sf "http://$platform/standin/faults"
for i in 1 2 3; do
  write_settings "$i" "$out/node-$i.toml"
  start_process "node-$i" "$binary" node --config "$out/node-$i.toml"
  nodes+=($!)
done
wait_for "$binary" config versions --operator http://127.0.0.1:7201
"$binary" config patch "scenarios/$user.json" --base 0 --operator http://127.0.0.1:7201
for i in 1 2 3; do wait_for curl -sf "http://127.0.0.1:808$i/readyz"; done
wait_for find_owner

"$binary" load "scenarios/$user.toml" --duration "${seconds}s" --json >"$out/result.json" 2>"$out/load.log" &
load_pid=$!
pids+=("$load_pid")
sleep $((seconds / 3))
inject_failure
code=0
wait "$load_pid" || code=$?
log_event "load ended with exit code $code; load average $(cut -d' ' -f1-3 /proc/loadavg)"
for i in 1 2 3; do curl -sf "http://127.0.0.1:730$i/metrics" >"$out/node-$i.metrics" 2>/dev/null || true; done
exit "$code"
