#!/usr/bin/env bash
# Sets up a fresh machine, builds, and shows figlug at work on stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
bash tools/setup.sh
cmake -G Ninja -B build -S . >/dev/null
cmake --build build --target demo
build/examples/demo
