#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. They have no dependencies.
set -euo pipefail
cd "$(dirname "$0")/lab"
go build -o ../../target/review-lab .
