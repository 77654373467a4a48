#!/usr/bin/env bash
# Builds the stand-ins and the driver of each case, review/N/driver. To be run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
flags=(-std=c++20 -O2 -Wall -Wextra -pthread)
c++ "${flags[@]}" -c stand_ins.cc -o stand_ins.o
for source in */case.cc; do
    c++ "${flags[@]}" "$source" stand_ins.o -o "${source%/*}/driver"
done
