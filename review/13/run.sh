#!/usr/bin/env bash
# Plays the case of claim.txt; TROUBLE=0 plays it without the disruption. Needs the build of the
# deploy file and review/build-3.sh. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
player=build-review-3/review_lost_turn
[ -x "$player" ] && [ -x target/bin/lacewingmuxd ] || exit 2
TMPDIR="$(mktemp -d)" || exit 2
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
timeout -k 5 110 "$player" target/bin build-review-3/bin review/13/record.txt &
child=$!
trap 'kill "$child" 2> /dev/null' INT TERM
wait "$child"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
