#!/usr/bin/env bash
# Measures what the path through the nodes adds against going straight to the stand-in engine: platform, engine, nodes
# and load as separate processes on loopback. Only processes started here are ended, by process id.
#
#   scripts/overhead.sh [NODES] [SECONDS]
#
# NODES    1 by default; requests go through the first one, which with several need not own the shard
# SECONDS  20 by default
#
# NODE_PROCS bounds the threads of each node that run at once (GOMAXPROCS); empty leaves the default.
set -euo pipefail
cd "$(dirname "$0")/.."

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

# stop_all ends what this script started.
stop_all() {
  local p
  for p in "${pids[@]}"; do kill -TERM "$p" 2>/dev/null || true; done
  for p in "${pids[@]}"; do wait "$p" 2>/dev/null || true; done
}
trap stop_all EXIT

# spawn starts a process whose id is left in $!.
spawn() {
  local name=$1
  shift
  "$@" >"$out/$name.out" 2>"$out/$name.log" &
  pids+=($!)
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

keygen=$("$binary" config keygen --operator trial --role editor --json)
field() { sed -n "s/.*\"$1\": *\"\([^\"]*\)\".*/\1/p" <<<"$keygen"; }
WIGEONSHIFT_OPERATOR_KEY=$(field key)
export WIGEONSHIFT_OPERATOR_KEY

# write_settings makes the settings file of one node from the example.
write_settings() {
  local i=$1 file=$2
  sed -e "s/^id = .*/id = \"node-$i\"/" -e 's/^zone = .*/zone = "a"/' -e 's/^region = .*/region = "local"/' \
    -e "s/127\.0\.0\.1:8080/127.0.0.1:809$i/" -e "s/127\.0\.0\.1:7100/127.0.0.1:711$i/" \
    -e "s/127\.0\.0\.1:7200/127.0.0.1:721$i/" -e "s/127\.0\.0\.1:7300/127.0.0.1:731$i/" \
    -e "s/^address = .*/address = \"$platform\"/" -e 's/^announce = .*/announce = true/' -e '/^keys = \[\]/d' \
    docs/wigeonshift.example.toml >"$file"
  printf '\n[[operator.keys]]\nname = "trial"\nrole = "editor"\nsalt = "%s"\nhash = "%s"\n' "$(field salt)" "$(field hash)" >>"$file"
}

spawn platform "$binary" standin platform --address "$platform"
spawn engine "$binary" standin engine --address "$engine" --prefill-speed 0 --decode-step 0s
wait_for curl -sf "http://$platform/standin/faults"
processes=()
for i in $(seq "$count"); do
  write_settings "$i" "$out/node-$i.toml"
  spawn "node-$i" env ${NODE_PROCS:+GOMAXPROCS=$NODE_PROCS} "$binary" node --config "$out/node-$i.toml"
  nodes+=($!)
  processes+=(--process $!)
done
wait_for "$binary" config versions --operator http://127.0.0.1:7211
"$binary" config patch scenarios/overhead.json --base 0 --operator http://127.0.0.1:7211
for i in $(seq "$count"); do wait_for curl -sf "http://127.0.0.1:809$i/readyz"; done
# The shard finds its first candidate.
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
