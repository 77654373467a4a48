#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases into review/build. To be run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
flags=(-std=c++20 -O2 -Wall -Wextra -pthread)
c++ "${flags[@]}" -c stand_ins/common.cc -o build/common.o
for source in */case.cc; do
    c++ "${flags[@]}" "$source" build/common.o -o "build/case-${source%%/*}"
done
