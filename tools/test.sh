#!/usr/bin/env bash
# Installs the packages, builds figlug and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
bash tools/setup.sh
cmake -G Ninja -B build -S . >/dev/null
cmake --build build
bash tools/run_tests.sh build
