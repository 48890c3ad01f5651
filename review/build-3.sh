#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15, with their stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
for source in review/common-3/tests/*.cc; do
  g++ -std=c++20 -O1 -g -Wall -Wextra -pthread \
    -o "$out/$(basename "$source" .cc)" "$source"
done
