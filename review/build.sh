#!/usr/bin/env bash
# Builds the stand-ins and cases of the review into build-review/. Needs the packages of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/harness -B build-review -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build build-review
