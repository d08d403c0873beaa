#!/usr/bin/env bash
# Builds the programs of the cases 11 and up, with their stand-ins, into build-review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-3
for source in review/1[1-9]/case.cpp; do
    number="$(basename "$(dirname "$source")")"
    g++ -std=c++20 -O1 -pthread -Wall -o "build-review-3/case-$number" "$source" &
done
wait
for source in review/1[1-9]/case.cpp; do
    test -x "build-review-3/case-$(basename "$(dirname "$source")")"
done
