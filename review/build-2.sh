#!/usr/bin/env bash
# Builds the stand-in of the cases 6 to 10 into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-2 ./review/standin2
