#!/usr/bin/env bash
# Plays the case and writes record.txt here. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case could not run. TROUBLE=0 plays it without the disruption. Needs the build of the deploy file, then
# review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-harness ] && [ -x target/slatebridge-box ] || exit 2
exec target/review-harness stale-tenant target/slatebridge-box review/3/record.txt
