# Functions for scripts that run processes in the background. The script sets out, the folder for their output, and pids, their ids.

# start_process starts a background process, logs to $out/NAME.out and $out/NAME.log, and leaves the process id in $!.
start_process() {
  local name=$1
  shift
  "$@" >"$out/$name.out" 2>"$out/$name.log" &
  pids+=($!)
}

# stop_processes terminates processes by id and waits for them.
stop_processes() {
  local p
  for p in "$@"; do kill -TERM "$p" 2>/dev/null || true; done
  for p in "$@"; do wait "$p" 2>/dev/null || true; done
}

# wait_for retries a command until it succeeds, for about 30 s.
wait_for() {
  local _
  for _ in $(seq 150); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.2
  done
  echo "timeout: $*" >&2
  return 1
}
