#!/usr/bin/env bash
# Runs the case with the given number. Settings and logs of the gateways lie in a temporary folder, which is removed.
# Exit status: 1 when the rule was broken, 0 when it held, 2 when the case could not run.
set -u
cd "$(dirname "$0")/.." || exit 2
number=$1
program=target/review-2/case-$number
[ -x "$program" ] || { echo "$program is missing: run review/build-2.sh first" >&2; exit 2; }
scratch=$(mktemp -d) || exit 2
trap 'rm -rf "$scratch"' EXIT
"$program" "review/$number" "$scratch"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
