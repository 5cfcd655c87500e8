#!/usr/bin/env bash
# Builds the stand-ins of the cases, which are one program, beside the program of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-standin ./review/standin
