#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. It needs Go and no modules.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-2/standin2 .
