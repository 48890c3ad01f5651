#!/usr/bin/env bash
# Fails when the core includes a system, event, codec or logging header, or
# reads a clock.
set -euo pipefail
cd "$(dirname "$0")/.."
headers='#include *<(sys/|unistd|event2|boost/(asio|beast)|netinet|arpa|poll|capnp|kj|log4cplus|thread|mutex|fstream|iostream|ctime|time\.h)'
clocks='(steady_clock|system_clock|high_resolution_clock)::now|clock_gettime|gettimeofday|random_device'
if grep -rnE "$headers|$clocks" core/include core/src; then
  echo "core: input, output or a clock was found" >&2
  exit 1
fi
echo "core: clean"
