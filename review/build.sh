#!/usr/bin/env bash
# Builds the stand-ins of the cases, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-harness ./review/harness
