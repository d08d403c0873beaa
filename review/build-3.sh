#!/usr/bin/env bash
# Builds the stand-ins and the players of the review's scripts into build-review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/harness-4 -B build-review-3 -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build build-review-3 --target review
