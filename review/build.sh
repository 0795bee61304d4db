#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
GOWORK=off go build -C review/standin -o ../../target/review-standin .
