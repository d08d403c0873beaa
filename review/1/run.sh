#!/usr/bin/env bash
# TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
case="build-review/review-case-$(basename "$folder")"
[ -x target/bin/lacewingmuxd ] && [ -x "$case" ] || exit 2
timeout 118 "$case" "$folder/record.txt"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
