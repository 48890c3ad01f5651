#!/usr/bin/env bash
# Plays the standard days of deployments on the users' bench and prints a line
# for each: its gate, its score and the mean worth of its days with trouble.
# Exits with 1 if a gate fails.
#   tools/regression.sh FLEETBENCH SITE... [-- OPTION...]
set -uo pipefail
if [ $# -lt 2 ]; then
  sed -n '2,5s/^# \{0,1\}//p' "$0" >&2
  exit 2
fi
cd "$(dirname "$0")/.."
bench=$1
shift
sites=()
while [ $# -gt 0 ] && [ "$1" != -- ]; do
  sites+=("$1")
  shift
done
[ $# -gt 0 ] && shift
code=0
for site in "${sites[@]}"; do
  "$bench" score "$site" "$@" 2>&1 | awk -v site="$(basename "$site" .toml)" '
    /^score on/ { score = $0; sub(/.*: /, "", score); sub(/,.*/, "", score) }
    /^(trouble|scale)-/ { worth += $4; ++days }
    /^GATE/ { gate = $0 }
    { last = $0 }
    END {
      if (gate == "") { gate = "no result: " last }
      printf "%-24s %s, score %s, worth %s over %d days with trouble\n", site,
             gate, score == "" ? "-" : score,
             days ? sprintf("%.3f", worth / days) : "-", days
      exit gate != "GATE passed"
    }' || code=1
done
exit "$code"
