#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start, under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -G Ninja -S review/common-2 -B target/review-2 \
  -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build target/review-2
