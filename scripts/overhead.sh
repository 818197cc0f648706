#!/usr/bin/env bash
# Measures the overhead of requests through the nodes compared with requests sent directly to the stand-in engine. The
# platform, engine, nodes and load generator run as separate processes on loopback. The script stops only processes that
# it started, by process id.
#
#   scripts/overhead.sh [NODES] [SECONDS]
#
# NODES    number of nodes, 1 by default; requests go to the first node, which need not own the shard if there are several
# SECONDS  duration of the load, 20 by default
#
# NODE_PROCS sets GOMAXPROCS of each node; if it is empty, the default applies.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/processes.sh

count=${1:-1}
seconds=${2:-20}
out=${OUT:-bin/overhead}
binary=${BINARY:-bin/wigeonshift}
platform=127.0.0.1:7410
engine=127.0.0.1:9401

mkdir -p "$out"
[[ -x $binary ]] || make build
pids=()
nodes=()

# stop_all stops all processes that this script started.
stop_all() {
  stop_processes "${pids[@]}"
}
trap stop_all EXIT

keygen=$("$binary" config keygen --operator trial --role editor --json)
# json_field prints a string field of the keygen output.
json_field() { sed -n "s/.*\"$1\": *\"\([^\"]*\)\".*/\1/p" <<<"$keygen"; }
WIGEONSHIFT_OPERATOR_KEY=$(json_field key)
export WIGEONSHIFT_OPERATOR_KEY

# write_settings writes the settings file of one node, based on the example settings.
write_settings() {
  local i=$1 file=$2
  sed -e "s/^id = .*/id = \"node-$i\"/" -e 's/^zone = .*/zone = "a"/' -e 's/^region = .*/region = "local"/' \
    -e "s/127\.0\.0\.1:8080/127.0.0.1:809$i/" -e "s/127\.0\.0\.1:7100/127.0.0.1:711$i/" \
    -e "s/127\.0\.0\.1:7200/127.0.0.1:721$i/" -e "s/127\.0\.0\.1:7300/127.0.0.1:731$i/" \
    -e "s/^address = .*/address = \"$platform\"/" -e 's/^announce = .*/announce = true/' -e '/^keys = \[\]/d' \
    docs/wigeonshift.example.toml >"$file"
  printf '\n[[operator.keys]]\nname = "trial"\nrole = "editor"\nsalt = "%s"\nhash = "%s"\n' "$(json_field salt)" "$(json_field hash)" >>"$file"
}

start_process platform "$binary" standin platform --address "$platform"
start_process engine "$binary" standin engine --address "$engine" --prefill-speed 0 --decode-step 0s
wait_for curl -sf "http://$platform/standin/faults"
processes=()
for i in $(seq "$count"); do
  write_settings "$i" "$out/node-$i.toml"
  start_process "node-$i" env ${NODE_PROCS:+GOMAXPROCS=$NODE_PROCS} "$binary" node --config "$out/node-$i.toml"
  nodes+=($!)
  processes+=(--process $!)
done
wait_for "$binary" config versions --operator http://127.0.0.1:7211
"$binary" config patch scenarios/overhead.json --base 0 --operator http://127.0.0.1:7211
for i in $(seq "$count"); do wait_for curl -sf "http://127.0.0.1:809$i/readyz"; done
# Give the shard time to move to its first candidate, the preferred owner.
sleep 12
echo "load average $(cut -d' ' -f1-3 /proc/loadavg)"
"$binary" load scenarios/overhead.toml --node 127.0.0.1:8091 --direct "$engine" "${processes[@]}" --duration "${seconds}s" --json \
  >"$out/result.json"
echo "load average $(cut -d' ' -f1-3 /proc/loadavg)"
for i in $(seq "$count"); do
  curl -sf "http://127.0.0.1:731$i/metrics" >"$out/node-$i.metrics" || true
  "$binary" status --operator "http://127.0.0.1:721$i" || true
done
grep -v '"timeline"' "$out/result.json" | sed -n '/"overhead"/,$p'
