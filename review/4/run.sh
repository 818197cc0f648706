#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0 it leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
# The script and all that it starts are one process group, which ends with it or after 118 seconds.
set -m
timeout --kill-after=1 118 target/review-lab restarted-engine review/4 &
script=$!
trap 'kill -KILL -- "-$script" 2>/dev/null' EXIT
trap 'exit 2' INT TERM
wait "$script"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
