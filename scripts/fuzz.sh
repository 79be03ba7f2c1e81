#!/usr/bin/env bash
# Runs each fuzz target of what comes from outside for some time, one after the other.
#
#   scripts/fuzz.sh [SECONDS]    60 s each by default
set -uo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-60}
status=0
while IFS=: read -r file target; do
  go test "./$(dirname "$file")" -run '^$' -fuzz "^$target\$" -fuzztime "${seconds}s" -parallel 2 2>&1 | tail -2 | sed "s/^/$target: /"
  [ "${PIPESTATUS[0]}" = 0 ] || status=1
done < <(grep -rhoE --include='*_test.go' -H 'func Fuzz[A-Za-z]+' . | sed -E 's/^\.\/(.*):func (Fuzz[A-Za-z]+)$/\1:\2/' | sort)
exit "$status"
