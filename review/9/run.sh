#!/usr/bin/env bash
# Runs the case. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-standin-2 ] || { echo "run review/build-2.sh first"; exit 2; }
exec target/review-standin-2 all-killed review/9
