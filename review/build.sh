#!/usr/bin/env bash
# Builds the stand-ins of the review. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review-standin .
