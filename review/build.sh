#!/usr/bin/env bash
# Builds the stand-ins and test programs that the scripts review/N/run.sh start.
# The command of the deploy file has to run first: it builds figlugd-platform.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -G Ninja -S review -B target/review -DCMAKE_BUILD_TYPE=RelWithDebInfo
cmake --build target/review
