#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
lab=../../target/review-lab-2
relay=../../target/wigeonrelay
[ -x "$lab" ] && [ -x "$relay" ] || { echo "build first: the build of the deploy file, then review/build-2.sh"; exit 2; }
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
timeout 100 "$lab" -trouble="$trouble" -relay "$relay" -template ../../deploy/relay.toml.tmpl -record record.txt slots
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
