#!/usr/bin/env bash
# Starts the platform stand-in, the backend servers and ten entry instances of one firm on 127.0.0.1, sends them
# requests, drains a data centre and stops an instance meanwhile; see demo/README.md. Called by `./run demo`.
set -euo pipefail
cd "$(dirname "$0")/.."

firm=${1:?usage: demo/demo.sh kaca|kitami}
[ -r "demo/$firm.services" ] || { echo "demo: unknown firm '$firm'; use kaca or kitami" >&2; exit 2; }
source "demo/$firm.env"
base_port=${KNAPWEED_DEMO_PORT:-17000}
seconds=${KNAPWEED_DEMO_SECONDS:-34}
rate=${KNAPWEED_DEMO_RATE:-$rate}
daemon=${KNAPWEED_DEMO_DAEMON:-build/source/daemons/knapweedd}
control=${KNAPWEED_DEMO_CONTROL:-build/source/daemons/knapweedctl}
tools=build/tests/stand_ins
for program in "$daemon" "$control"; do
    [ -x "$program" ] || { echo "demo: $program is missing" >&2; exit 1; }
done
start_limit_s=20     # until all entry instances answer look-ups of all services
settle_s=4           # new pool owners count slots as occupied until two load reports, 1 s apart, show them free
drain_limit_s=30     # half of the region's traffic moves at 20% in 10 s: at once, after 10 s and after 20 s
stop_limit_s=20      # look-up TTL of 5 s plus the longest request of the mix
lifetime_s=$((seconds + drain_limit_s + start_limit_s + settle_s + stop_limit_s + 30))

data_centres=("${regions[0]}_a" "${regions[0]}_b" "${regions[1]}_a" "${regions[1]}_b" "${regions[2]}_a" "${regions[2]}_b")
instance_places=(0 0 1 1 2 2 3 3 4 5) # index of the data centre of each entry instance
drained_place=3
drained="${data_centres[$drained_place]}" # holds two of the ten instances and a sixth of the servers
operator=1                            # number of the instance that receives the operators' commands
stopped=3                             # number of the instance that is stopped: e3
platform="127.0.0.1:$base_port"
directory=$(mktemp -d "${TMPDIR:-/tmp}/knapweed-demo.XXXXXX")
declare -A processes=()               # process ID by name
backend_list=""
failed=yes

finish() {
    local name
    for name in "${!processes[@]}"; do kill -TERM "${processes[$name]}" 2>/dev/null || true; done
    for name in "${!processes[@]}"; do
        # An entry instance stops gracefully, which takes up to the TTL of a look-up.
        wait_for_end "${processes[$name]}" "$stop_limit_s" || kill -KILL "${processes[$name]}" 2>/dev/null || true
        wait "${processes[$name]}" 2>/dev/null || true
    done
    if [ "$failed" = yes ] || [ "${KNAPWEED_DEMO_KEEP:-no}" = yes ]; then
        echo "demo: settings and logs are in $directory"
    else
        rm -r "$directory"
    fi
}
trap finish EXIT

stop_with() { echo "demo: $*" >&2; exit 1; }

start() { # start NAME COMMAND...
    local name=$1
    shift
    "$@" >"$directory/$name.log" 2>&1 &
    processes[$name]=$!
}

wait_for_end() { # wait_for_end PID SECONDS
    local tenths=$(($2 * 10))
    while kill -0 "$1" 2>/dev/null; do
        [ $((tenths--)) -gt 0 ] || return 1
        sleep 0.1
    done
}

instance_address() { echo "127.0.0.1:$((base_port + $1))"; }

instance_list() { # instance_list [NUMBER of a leaving instance]
    local separator="" number place
    printf '{"instances": ['
    for number in {1..10}; do
        place=${instance_places[$((number - 1))]}
        printf '%s{"instance": "e%s", "address": "%s", "data_centre": "%s", "region": "%s", "leaving": %s}' \
            "$separator" "$number" "$(instance_address "$number")" "${data_centres[$place]}" \
            "${regions[$((place / 2))]}" "$([ "$number" = "${1:-}" ] && echo true || echo false)"
        separator=", "
    done
    printf ']}\n'
}

services() { grep -v '^#' "demo/$firm.services"; }

service_configuration() { # service_configuration NAME PER_DATA_CENTRE SLOTS FIRST_PORT
    local separator="" port=$4 place number
    printf '{"name": "%s", "max_run_ms": 5000, "shift_cap_permille": 200, "shift_window_ms": 10000,' "$1"
    printf ' "backend_servers": ['
    for place in "${!data_centres[@]}"; do
        for number in $(seq "$2"); do
            printf '%s{"name": "%s-%s-%s", "data_centre": "%s", "address": "127.0.0.1:%s", "slots": %s, "connections": 360}' \
                "$separator" "$1" "${data_centres[$place]}" "$number" "${data_centres[$place]}" "$port" "$3"
            port=$((port + 1))
            separator=", "
        done
    done
    printf ']}'
}

configuration() {
    local separator="" port=$((base_port + 20)) place pair name per_data_centre slots
    printf '{"version": "1", "services": ['
    while read -r name per_data_centre slots _; do
        printf '%s' "$separator"
        service_configuration "$name" "$per_data_centre" "$slots" "$port"
        port=$((port + per_data_centre * 6))
        separator=", "
    done < <(services)
    separator=""
    printf '], "data_centres": ['
    for place in "${!data_centres[@]}"; do
        printf '%s{"name": "%s", "region": "%s"}' "$separator" "${data_centres[$place]}" "${regions[$((place / 2))]}"
        separator=", "
    done
    printf '], "ranks": [{"rank": "urgent", "queue_per_slot_permille": 4000},'
    printf ' {"rank": "standard", "floor_permille": 150, "queue_per_slot_permille": 4000},'
    printf ' {"rank": "bulk", "floor_permille": 50, "queue_per_slot_permille": 4000}], "links": ['
    separator=""
    for pair in "0 1" "0 2" "1 2"; do
        printf '%s{"region_a": "%s", "region_b": "%s", "bytes_per_second": "%s"}' "$separator" \
            "${regions[${pair% *}]}" "${regions[${pair#* }]}" "$link_bytes_per_second"
        separator=", "
    done
    printf '], "change": {"operation": "demo-1", "operator_name": "demo", "unix_ms": "%s000", "summary": "initial"}}' \
        "$(date +%s)"
}

write_configuration() {
    local value
    value=$(configuration | sed 's/\\/\\\\/g; s/"/\\"/g')
    cat >"$directory/transaction.json" <<JSON
{"conditions": [{"table": "configuration", "key": "current", "version": 0}],
 "writes": [{"table": "configuration", "key": "current", "value": "$value"},
            {"table": "configuration_history", "key": "1", "value": "$value"}]}
JSON
    curl -sS --fail --max-time 5 -H 'Content-Type: application/json' --data-binary "@$directory/transaction.json" \
        "http://$platform/transactions" >/dev/null
}

start_backends() {
    local port=$((base_port + 20)) name per_data_centre slots run_ms answer_bytes count
    while read -r name per_data_centre slots run_ms answer_bytes; do
        count=$((per_data_centre * 6))
        start "$name" "$tools/knapweed_backend" --service "$name" --servers "$count" --first-port "$port" \
            --slots "$slots" --run-ms "$run_ms" --answer-bytes "$answer_bytes" --health-lag-ms 100 \
            --lifetime-s "$lifetime_s"
        backend_list+="${backend_list:+,}127.0.0.1:$port-$((port + count - 1))"
        port=$((port + count))
    done < <(services)
}

start_instance() { # start_instance NUMBER
    local place=${instance_places[$(($1 - 1))]}
    cat >"$directory/e$1.ini" <<INI
[instance]
name = e$1
data_centre = ${data_centres[$place]}
region = ${regions[$((place / 2))]}
listen = $(instance_address "$1")

[platform]
table_service = $platform

[limits]
caller_connections = 4096

[steering]
lookup_ttl_ms = 5000

[log]
level = info
INI
    start "e$1" "$daemon" --settings "$directory/e$1.ini"
}

wait_until_ready() {
    local tenths=$((start_limit_s * 10)) number name
    for number in {1..10}; do
        while read -r name _; do
            until curl -s --fail --max-time 1 -o /dev/null -H 'Knapweed-Caller: demo' \
                "http://$(instance_address "$number")/v1/lookup?service=$name"; do
                kill -0 "${processes[e$number]}" 2>/dev/null || stop_with "e$number ended during its start"
                [ $((tenths--)) -gt 0 ] || stop_with "e$number does not answer look-ups of $name"
                sleep 0.1
            done
        done < <(services)
    done
}

operate() { # operate NUMBER COMMAND...
    "$control" --instance "$(instance_address "$1")" --operator demo "${@:2}"
}

drain() {
    echo "drain data_centre $drained:"
    operate "$operator" drain data_centre "$drained" || stop_with "the drain was refused"
    drained_at=$(date +%s%3N)
}

drained_runs() { # requests that the backend servers of the drained data centre have started
    local port=$((base_port + 20)) name count first
    while read -r name count _; do
        first=$((port + drained_place * count))
        curl -sS --fail --max-time 2 "http://127.0.0.1:[$first-$((first + count - 1))]/statistics" |
            grep -o '"runs": *[0-9]*' | grep -o '[0-9]*$'
        port=$((port + count * 6))
    done < <(services) | awk '{ sum += $1 } END { print sum + 0 }'
}

share_is_zero() { # share_is_zero NUMBER SERVICE
    local text
    text=$(operate "$1" where "$2") || return 1
    grep -q 'no shift in progress' <<<"$text" && grep -q "^$drained: weight 0.0%" <<<"$text"
}

wait_for_drain() {
    local number name
    for number in {1..10}; do
        [ "$number" != "$stopped" ] || continue
        while read -r name _; do
            until share_is_zero "$number" "$name"; do
                [ $(($(date +%s%3N) - drained_at)) -lt $((drain_limit_s * 1000)) ] ||
                    stop_with "e$number still sends $name to $drained: $(operate "$number" where "$name")"
                sleep 0.2
            done
        done < <(services)
    done
    drain_ms=$(($(date +%s%3N) - drained_at))
    sleep 1 # lets requests start that were sent before the drain was complete
    runs_when_drained=$(drained_runs)
}

stop_instance() {
    local pid=${processes[e$stopped]} code=0 begin=$SECONDS
    kill -TERM "$pid"
    curl -sS --fail --max-time 5 -X PUT -d "$(instance_list "$stopped")" "http://$platform/instances" >/dev/null
    wait_for_end "$pid" "$stop_limit_s" || { echo "e$stopped has not stopped within $stop_limit_s s"; return 1; }
    wait "$pid" || code=$?
    unset "processes[e$stopped]"
    echo "e$stopped ended $((SECONDS - begin)) s after SIGTERM with exit code $code"
    return "$code"
}

echo "== $firm: $rate requests/s for $seconds s, ten entry instances, three regions with two data centres each"
instance_list >"$directory/instances.json"
start platform "$tools/knapweed_platform" --port "$base_port" --instances "$directory/instances.json" \
    --instance-lag-ms 1000 --lifetime-s "$lifetime_s"
start_backends
sleep 0.5
for name in "${!processes[@]}"; do
    kill -0 "${processes[$name]}" 2>/dev/null || stop_with "$name: $(cat "$directory/$name.log")"
done
write_configuration
for number in {1..10}; do start_instance "$number"; done
wait_until_ready
sleep "$settle_s"

entries="127.0.0.1:$((base_port + 1))-$((base_port + 10))"
start load "$tools/knapweed_load" --entries "$entries" --backends "$backend_list" --mix "demo/$firm.mix.json" \
    --rate "$rate" --duration-s "$seconds" --callers 60 --seed 1 --json "$directory/load.json" \
    --lifetime-s "$lifetime_s"
sleep 4
runs_before=$(drained_runs)
drain
sleep 3
stopped_well=yes
stop_instance || stopped_well=no
wait_for_drain
code=0
wait "${processes[load]}" || code=$?
unset "processes[load]"
cat "$directory/load.log"
for number in {1..10}; do
    name=e$number
    [ -z "${processes[$name]:-}" ] || kill -0 "${processes[$name]}" 2>/dev/null || stop_with "$name ended during the load"
done
[ "$stopped_well" = yes ] || stop_with "e$stopped did not stop gracefully"
runs_at_end=$(drained_runs)
echo "drain report: the share of $drained fell to 0 on all instances after $drain_ms ms; its backend servers started" \
    "$((runs_when_drained - runs_before)) requests during the shift and $((runs_at_end - runs_when_drained)) after it"
[ "$runs_at_end" -eq "$runs_when_drained" ] || stop_with "the drained data centre still received requests"
[ "$code" -eq 0 ] && failed=no
exit "$code"
