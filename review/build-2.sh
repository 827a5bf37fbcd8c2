#!/usr/bin/env bash
# Builds the stand-in of the cases of the second review, after the build of the deploy file. It needs only the standard library.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOWORK=off go build -o ../../target/review-standin-2 .
