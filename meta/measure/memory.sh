#!/usr/bin/env bash
# Measures the resident memory of an entry instance, and of the control instance whose ledger keeps
# every bill, at ten points over many requests, half of them whole answers and half streams. Prints
# a table.
#   memory.sh [REQUESTS] [CONNECTIONS]
set -euo pipefail
cd "$(dirname "$0")/../.."
readonly requests=${1:-1000000} connections=${2:-16} points=10
. meta/support/loopback.sh
. meta/support/one_router.sh

offer() { # body
  $load --connections="$connections" --requests=$((requests / points / 2)) \
    --target=127.0.0.1:$router_port --key=key --body="$1" || true
}

row() { printf '%10s %10s %12s %12s\n' "$sent" "$failures" "$(resident_kb "$router")" "$(resident_kb "$ledger")"; }

start_router
echo "memory.sh: $requests requests, $connections connections, answers of 16 tokens"
printf '%10s %10s %12s %12s\n' requests failures "entry KiB" "ledger KiB"
sent=0 failures=0
row
for _ in $(seq $points); do
  for body in "$whole_body" "$stream_body"; do
    line=$(offer "$body")
    sent=$((sent + $(value requests <<<"$line")))
    failures=$((failures + $(value failures <<<"$line")))
  done
  row
done
stop_all
