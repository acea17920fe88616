#!/usr/bin/env bash
# Counts the instructions that the router executes per request with callgrind, and lists the most
# expensive functions. The counts do not depend on other load on the machine. Requires valgrind.
#   profile.sh [SECONDS_PER_STEP] [LINES_OF_PROFILE]
set -euo pipefail
cd "$(dirname "$0")/../.."
readonly seconds=${1:-10} lines=${2:-25}
. meta/support/loopback.sh
. meta/support/one_router.sh

start_router valgrind --tool=callgrind --callgrind-out-file="$folder/counts"

control() { callgrind_control "$@" "$router" >/dev/null 2>&1; }
newest_dump() { ls -t "$folder"/counts.* | sed -n 1p; }
instructions_in() { sed -n 's/^\(totals\|summary\): \([0-9]*\).*/\2/p' "$1" | sed -n 1p; } # dump

count() { # name, command... ; sets `counted`
  local name=$1
  shift
  control -z
  "$@"
  control -d
  counted=$(instructions_in "$(newest_dump)")
}

measure() { # name, body
  local requests
  offer() { $load --connections=16 --seconds="$seconds" --target=127.0.0.1:$router_port --key=key \
    --body="$2" >"$folder/$1.load" || true; }
  # Warms up connections and memory pages before counting.
  offer warm "$2"
  count "$1" offer "$1" "$2"
  requests=$(value requests <"$folder/$1.load")
  printf '%-8s %10s %10s %14s %16s\n' "$1" "$requests" "$(value failures <"$folder/$1.load")" "$counted" \
    "$(((counted - idle) / requests))"
  # Excludes calls that began before the count was reset; callgrind lists them with zero calls.
  sed '/^calls=0 /,+1d' "$(newest_dump)" >"$folder/dump"
  callgrind_annotate --auto=no "$folder/dump" 2>/dev/null | grep '%) ' | sed -n "1,$((lines + 1))p" |
    sed -E 's/ \[.*\]//; s#[^ ]*/##' | cut -c 1-110 >"$folder/$1.profile"
}

echo "profile.sh: $seconds s a step, 16 connections, answers of 16 tokens"
count idle sleep "$seconds"
readonly idle=$counted
echo "idle: $((idle / seconds)) instructions a second, taken off below"
printf '%-8s %10s %10s %14s %16s\n' answers requests failures instructions "one request"
measure whole "$whole_body"
measure stream "$stream_body"
for name in whole stream; do
  echo "-- $name answers, instructions in the functions themselves"
  cat "$folder/$name.profile"
done
stop_all
