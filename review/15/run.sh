#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/lacewingmuxd ] || { echo "target/bin/lacewingmuxd is missing" >&2; exit 2; }
[ -x build-review-3/case-15 ] || review/build-3.sh || exit 2
timeout 115 build-review-3/case-15 review/15/record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
