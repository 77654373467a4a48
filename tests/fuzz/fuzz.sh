#!/usr/bin/env bash
# Builds and runs the fuzz targets, see docs/fuzzing.md and `usage` below. Called by `./run fuzz` and by the tests.
set -euo pipefail
cd "$(dirname "$0")/../.."
export CCACHE_DIR="${CCACHE_DIR:-$HOME/.cache/knapweedpick-ccache}"
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=true
jobs="${KNAPWEED_JOBS:-$(($(nproc) / 2 + 1))}"
fixed_seed=1
# A fault in a message of a few kilobytes shows itself far below these limits.
limits=(-timeout=60 -rss_limit_mb=2048 -malloc_limit_mb=256 -max_len=16384)

fail() {
    echo "fuzz: $1" >&2
    exit 2
}

usage='give TARGET --minutes M [--seed S], --replay, --fixed CHANGES, --build or --targets'

targets() { for file in tests/fuzz/*_target.cpp tests/platform/fuzz/*_target.cpp; do basename "$file" _target.cpp; done; }

# Prints the folders with seeds and findings of a target.
input_folders() { # input_folders TARGET
    local folder
    for folder in {tests/fuzz,tests/platform/fuzz}/{seeds,findings}/"$1"; do
        [ ! -d "$folder" ] || echo "$folder"
    done
}

build_targets() {
    cmake -S . -B build-fuzz -G Ninja -DKNAPWEED_FUZZ=ON -DCMAKE_CXX_COMPILER=clang++ -DCMAKE_BUILD_TYPE=None >/dev/null
    cmake --build build-fuzz -j "$jobs" --target knapweed_fuzz_targets >build-fuzz/build.log 2>&1 || {
        grep -E -A 12 'error|FAILED' build-fuzz/build.log | head -n 100
        return 1
    }
}

# Prints the files of the seeds and findings of a target, in the same order everywhere.
kept_inputs() { # kept_inputs TARGET
    input_folders "$1" | xargs -r -I{} find {} -type f | LC_ALL=C sort
}

replay() {
    local failed=0 target count
    for target in $(targets); do
        mapfile -t inputs < <(kept_inputs "$target")
        count=${#inputs[@]}
        if [ "$count" -eq 0 ]; then
            echo "fuzz: $target has no seeds" >&2
            failed=1
        elif "build-fuzz/tests/fuzz/fuzz_$target" "${limits[@]}" "${inputs[@]}" >"build-fuzz/replay-$target.log" 2>&1; then
            echo "$target: $count inputs"
        else
            tail -n 40 "build-fuzz/replay-$target.log"
            echo "$target: FAILED"
            failed=1
        fi
    done
    return "$failed"
}

# Runs the same changes of all kept inputs each time. The runs that coverage guides differ in the inputs that they make,
# also from the same seed.
run_fixed() { # run_fixed CHANGES_OF_EACH_INPUT
    local failed=0 target log
    for target in $(targets); do
        log="build-fuzz/fixed-$target.log"
        mkdir -p "build-fuzz/found/$target"
        mapfile -t inputs < <(kept_inputs "$target")
        if KNAPWEED_FUZZ_MUTATIONS=$1 KNAPWEED_FUZZ_FILE="build-fuzz/found/$target/changed" \
            "build-fuzz/tests/fuzz/fuzz_$target" "${limits[@]}" "${inputs[@]}" >"$log" 2>&1; then
            echo "$target: ${#inputs[@]} inputs, $1 changes of each"
        else
            tail -n 60 "$log"
            echo "$target: FAILED, with the input build-fuzz/found/$target/changed"
            failed=1
        fi
    done
    return "$failed"
}

run_target() { # run_target TARGET MINUTES SEED
    local corpus="build-fuzz/corpus/$1" found="build-fuzz/found/$1" status=0 folders
    mkdir -p "$corpus" "$found"
    mapfile -t folders < <(input_folders "$1")
    "build-fuzz/tests/fuzz/fuzz_$1" "${limits[@]}" -seed="$3" -max_total_time=$(($2 * 60)) -print_final_stats=1 \
        -artifact_prefix="$found/" "$corpus" "${folders[@]}" >"build-fuzz/run-$1.log" 2>&1 || status=$?
    grep -E '^#[0-9]+.*DONE|^stat::number_of_executed|^violated|ERROR:|runtime error|Test unit written' \
        "build-fuzz/run-$1.log" || tail -n 20 "build-fuzz/run-$1.log"
    [ "$status" -eq 0 ] || echo "$1: FAILED, see build-fuzz/run-$1.log"
    return "$status"
}

is_number() { [[ $1 =~ ^[1-9][0-9]{0,8}$ ]]; }

# With --check first, only the arguments are checked.
check_only=false
if [ "${1:-}" = --check ]; then
    check_only=true
    shift
fi
[ $# -gt 0 ] || fail "$usage"
command=$1
case "$command" in
--targets | --build | --replay) [ $# -eq 1 ] || fail "$command takes no argument, not '$2'" ;;
--fixed) { [ $# -eq 2 ] && is_number "$2"; } || fail "--fixed takes the number of changes of each kept input" ;;
-*) fail "unknown option '$command'; $usage" ;;
*)
    minutes="" seed=$fixed_seed
    [[ " $(targets | paste -sd ' ') " == *" $command "* ]] || fail "unknown target '$command'; the targets are: $(targets | paste -sd ' ')"
    options=("${@:2}")
    for ((i = 0; i < ${#options[@]}; i += 2)); do
        [[ ${options[i]} =~ ^--(minutes|seed)$ ]] || fail "unknown option '${options[i]}'; $usage"
        is_number "${options[i + 1]:-}" || fail "${options[i]} takes a whole number from 1 to 999999999"
        if [ "${options[i]}" = --minutes ]; then minutes=${options[i + 1]}; else seed=${options[i + 1]}; fi
    done
    [ -n "$minutes" ] || fail "--minutes is required"
    ;;
esac
[ "$check_only" = false ] || exit 0

case "$command" in
--targets) targets ;;
--build) build_targets ;;
--replay) build_targets && replay ;;
--fixed) build_targets && run_fixed "$2" ;;
*) build_targets && run_target "$command" "$minutes" "$seed" ;;
esac
