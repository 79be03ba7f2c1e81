#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review, which are one program.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o .bin/review-harness2 ./review/harness2
