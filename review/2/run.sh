#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
cd "$(dirname "$0")/../.."
root=$PWD
program=$root/target/platform/figlugd-platform
case_program=$root/target/review/odd_heartbeat
[ -x "$program" ] && [ -x "$case_program" ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
cd "$folder" || exit 2
timeout 118 "$case_program" "$program" "$root/review/2/record.txt"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
