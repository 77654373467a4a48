#!/usr/bin/env bash
# Builds the stand-ins and the cases with scripts of the second review into target/review-2, with the compiler and the
# libraries of the deploy file's packages.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags=(-std=c++20 -O1 -g -Wall -Wextra -Wno-mismatched-new-delete -pthread)
g++ "${flags[@]}" -c review/stand_ins_2.cc -o target/review-2/stand_ins_2.o
for number in 6 7 8 9 10; do
    [ -f "review/$number/case.cc" ] || continue
    g++ "${flags[@]}" "review/$number/case.cc" target/review-2/stand_ins_2.o -o "target/review-2/case-$number"
done
