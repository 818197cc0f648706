#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 11 to 15 start, into target/.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
go build -o ../../target/standin-3 .
