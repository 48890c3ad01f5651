#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/odd_heartbeat
[ -x "$program" ] && [ -x target/platform/figlugd-platform ] || exit 2
exec "$program" review/11/record.txt
