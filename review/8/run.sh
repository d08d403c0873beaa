#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
program="review/harness-2/bin/case-$(basename "$folder")"
[ -x target/bin/lacewingmuxd ] && [ -x "$program" ] || exit 2
TMPDIR="$(mktemp -d)" || exit 2
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
timeout --kill-after=5 110 "$program" "$folder/record.txt" &
child=$!
trap 'kill "$child" 2> /dev/null' INT TERM
wait "$child"
code=$?
wait "$child" 2> /dev/null # again, if a signal ended the first one
[ "$code" -le 1 ] && exit "$code"
exit 2
