#!/usr/bin/env bash
# run_case.sh N: runs the driver of a case in the repository's root, with a temporary folder.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -uo pipefail
review=$(cd "$(dirname "$0")" && pwd)
cd "$review/.." || exit 2
if [ ! -x target/knapweed-gateway ] || [ ! -x "review/$1/driver" ]; then
    echo "build the program as in deploy/system.toml, and then review/build.sh"
    exit 2
fi
scratch=$(mktemp -d) || exit 2
trap 'rm -rf "$scratch"' EXIT
timeout --kill-after=5 110 "review/$1/driver" "review/$1" "$scratch"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
