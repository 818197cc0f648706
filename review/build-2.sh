#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/lab-2"
mkdir -p ../../target
GOFLAGS=-mod=mod go test -c -o ../../target/review-lab-2 .
