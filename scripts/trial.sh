#!/usr/bin/env bash
# Runs one user's scenario against three nodes, the stand-in platform and the stand-in fleet as separate processes on
# loopback, with one failure in the middle. Only processes started here are ended, by process id.
#
#   scripts/trial.sh USER FAILURE [SECONDS]
#
# USER     instituto or asociacion
# FAILURE  none, term-node, kill-node, kill-engine, outage-kill-owner or freeze-owner
# SECONDS  time of sending, 60 by default; the failure comes after a third of it
#
# The results go to OUT (default bin/trial/USER-FAILURE): result.txt, result.json, the nodes' logs, settings and metrics.
set -euo pipefail
cd "$(dirname "$0")/.."

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

# spawn starts a process whose id is left in $!.
spawn() {
  local name=$1
  shift
  "$@" >"$out/$name.out" 2>"$out/$name.log" &
  pids+=($!)
}

# stop ends processes by id and waits for them.
stop() {
  local p
  for p in "$@"; do kill -TERM "$p" 2>/dev/null || true; done
  for p in "$@"; do wait "$p" 2>/dev/null || true; done
}

# stop_all ends what this script started, the frozen too; nodes first, since they hand over to the last.
stop_all() {
  local p
  for p in "${nodes[@]}"; do kill -CONT "$p" 2>/dev/null || true; done
  stop "${nodes[@]}"
  stop "${pids[@]}"
}
trap stop_all EXIT

# note prints an event with its time.
note() {
  echo "$(date +%T) $*" | tee -a "$out/events.txt"
}

# set_faults puts faults into force on the stand-in platform.
set_faults() {
  curl -sf -X POST "http://$platform/standin/faults" -H 'Content-Type: application/json' -d "$1" >/dev/null
}

# write_settings makes the settings file of one node from the example.
write_settings() {
  local i=$1 file=$2
  sed -e "s/^id = .*/id = \"node-$i\"/" -e "s/^zone = .*/zone = \"${zones[$((i - 1))]}\"/" -e "s/^region = .*/region = \"$region\"/" \
    -e "s/127\.0\.0\.1:8080/127.0.0.1:808$i/" -e "s/127\.0\.0\.1:7100/127.0.0.1:710$i/" \
    -e "s/127\.0\.0\.1:7200/127.0.0.1:720$i/" -e "s/127\.0\.0\.1:7300/127.0.0.1:730$i/" \
    -e "s/^address = .*/address = \"$platform\"/" -e 's/^announce = .*/announce = true/' -e '/^keys = \[\]/d' \
    docs/wigeonshift.example.toml >"$file"
  printf '\n[[operator.keys]]\n%s\n' "$operator_entry" >>"$file"
}

# wait_for repeats a command until it succeeds, for at most 30 s.
wait_for() {
  local _
  for _ in $(seq 150); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.2
  done
  echo "timeout: $*" >&2
  return 1
}

# owner prints the number of the node that holds the lease of the user's model pool.
owner() {
  local i
  for i in 1 2 3; do
    if "$binary" status --operator "http://127.0.0.1:720$i" --json 2>/dev/null | grep -q "\"shard\": \"$pool"; then
      echo "$i"
      return
    fi
  done
  return 1
}

# fail_now causes the failure.
fail_now() {
  local i
  case $failure in
  none) ;;
  term-node)
    i=$(owner)
    note "SIGTERM to node-$i, an owner"
    kill -TERM "${nodes[$((i - 1))]}"
    ;;
  kill-node)
    i=$(owner)
    note "SIGKILL to node-$i, an owner"
    kill -KILL "${nodes[$((i - 1))]}"
    ;;
  kill-engine)
    note "SIGKILL to $engine"
    kill -KILL "$engine_pid"
    ;;
  outage-kill-owner)
    i=$(owner)
    note "platform down for $outage_seconds s"
    set_faults '{"outage":true}'
    sleep 2
    note "SIGKILL to node-$i, an owner"
    kill -KILL "${nodes[$((i - 1))]}"
    sleep $((outage_seconds - 2))
    set_faults '{}'
    note "platform back"
    ;;
  freeze-owner)
    i=$(owner)
    note "SIGSTOP to node-$i, an owner"
    kill -STOP "${nodes[$((i - 1))]}"
    sleep $freeze_seconds
    kill -CONT "${nodes[$((i - 1))]}"
    note "SIGCONT to node-$i"
    ;;
  esac
}

: >"$out/events.txt"
note "load average $(cut -d' ' -f1-3 /proc/loadavg)"
keygen=$("$binary" config keygen --operator trial --role editor --json)
field() { sed -n "s/.*\"$1\": *\"\([^\"]*\)\".*/\1/p" <<<"$keygen"; }
WIGEONSHIFT_OPERATOR_KEY=$(field key)
export WIGEONSHIFT_OPERATOR_KEY
operator_entry=$(printf 'name = "trial"\nrole = "editor"\nsalt = "%s"\nhash = "%s"' "$(field salt)" "$(field hash)")

spawn platform "$binary" standin platform --address "$platform"
spawn fleet "$binary" standin fleet "scenarios/$user.json" --except "$engine"
spawn engine "$binary" standin fleet "scenarios/$user.json" --only "$engine"
engine_pid=$!
wait_for curl -sf "http://$platform/standin/faults"
for i in 1 2 3; do
  write_settings "$i" "$out/node-$i.toml"
  spawn "node-$i" "$binary" node --config "$out/node-$i.toml"
  nodes+=($!)
done
wait_for "$binary" config versions --operator http://127.0.0.1:7201
"$binary" config patch "scenarios/$user.json" --base 0 --operator http://127.0.0.1:7201
for i in 1 2 3; do wait_for curl -sf "http://127.0.0.1:808$i/readyz"; done
wait_for owner

"$binary" load "scenarios/$user.toml" --duration "${seconds}s" --json >"$out/result.json" 2>"$out/load.log" &
load_pid=$!
pids+=("$load_pid")
sleep $((seconds / 3))
fail_now
code=0
wait "$load_pid" || code=$?
note "load ended with exit code $code; load average $(cut -d' ' -f1-3 /proc/loadavg)"
for i in 1 2 3; do curl -sf "http://127.0.0.1:730$i/metrics" >"$out/node-$i.metrics" 2>/dev/null || true; done
exit "$code"
