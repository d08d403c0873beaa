#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review into the folder given, or
# review/harness-2/bin. Needs g++ only. Cases 7 and 9 use the headers of harness-3.
set -euo pipefail
cd "$(dirname "$0")"
out="${1:-harness-2/bin}"
mkdir -p "$out"
flags=(-std=c++20 -O2 -Wall -Wextra -pthread -Iharness-2)
parts=()
for part in Http Store Replica Fleet Caller Deployment; do
    g++ "${flags[@]}" -c "harness-2/$part.cpp" -o "$out/$part.o" &
    parts+=("$out/$part.o")
done
for job in $(jobs -p); do wait "$job"; done
for number in 6 8 10; do
    [ -f "$number/case.cpp" ] || continue
    g++ "${flags[@]}" "$number/case.cpp" "${parts[@]}" -o "$out/case-$number"
done
for number in 7 9; do
    g++ "${flags[@]}" "$number/case.cpp" -o "$out/case-$number" &
done
for job in $(jobs -p); do wait "$job"; done
