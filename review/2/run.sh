#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review/review/CutRelay.class ] || exit 2
timeout 110 java -cp target/review:target/landingtrack.jar review.CutRelay review/2
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
