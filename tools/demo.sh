#!/usr/bin/env bash
# Installs the packages, builds figlug and runs the demo against stand-ins for
# the log and the targets.
set -euo pipefail
cd "$(dirname "$0")/.."
bash tools/setup.sh
cmake -G Ninja -B build -S . >/dev/null
cmake --build build --target demo
build/examples/demo
