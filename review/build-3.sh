#!/usr/bin/env bash
# Builds the stand-ins of the third review into out/review-3/. Needs only Go; adds no dependency.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
mkdir -p ../../out/review-3
GOWORK=off GOFLAGS=-mod=mod go build -o ../../out/review-3/review3 .
