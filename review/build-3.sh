#!/usr/bin/env bash
# Builds the stand-ins of the third review. The programs under review come from the deploy build.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-3 ./review/standin3
