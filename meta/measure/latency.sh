#!/usr/bin/env bash
# Measures the latency and processor time that the router adds to a request. Compares one entry
# instance in front of one engine stand-in (see meta/support/one_router.sh) with direct requests to
# the stand-in in the same run, for whole answers and for streams. Prints a table.
#   latency.sh [SECONDS_PER_STEP] [CONNECTIONS]
set -euo pipefail
cd "$(dirname "$0")/../.."
readonly seconds=${1:-10} connections=${2:-16}
. meta/support/loopback.sh
. meta/support/one_router.sh

# The load generator exits with an error if requests fail. The table counts failures, so the run
# continues.
offer() { $load --connections="$connections" --seconds="$seconds" "$@" || true; }
cpu_ms() { awk -v hz="$(getconf CLK_TCK)" '{print int(($14 + $15) * 1000 / hz)}' "/proc/$1/stat"; }

start_router

measure() { # name, body
  local direct routed before after rate half cpu cpu_before requests memory
  direct=$(offer --target=127.0.0.1:$engine_port --body="$2")
  memory=$(resident_kb "$router")
  cpu_before=$(cpu_ms "$router")
  routed=$(offer --target=127.0.0.1:$router_port --key=key --body="$2")
  cpu=$(($(cpu_ms "$router") - cpu_before))
  requests=$(value requests <<<"$routed")
  rate=$(value per_second <<<"$routed")
  half=$((rate / 2))
  before=$(offer --rate=$half --target=127.0.0.1:$engine_port --body="$2")
  after=$(offer --rate=$half --target=127.0.0.1:$router_port --key=key --body="$2")
  printf '%-8s %9s %9s %12s %8s' "$1" "$(value per_second <<<"$direct")" "$rate" \
    "$((requests * 1000 / (cpu > 0 ? cpu : 1)))" "$half"
  printf ' %8s %8s %8s %8s' "$(value total_p50_us <<<"$before")" "$(value total_p50_us <<<"$after")" \
    "$(value total_p99_us <<<"$before")" "$(value total_p99_us <<<"$after")"
  printf ' %8s %8s' "$(($(value total_p50_us <<<"$after") - $(value total_p50_us <<<"$before")))" \
    "$(($(value total_p99_us <<<"$after") - $(value total_p99_us <<<"$before")))"
  printf ' %9s %9s %5s\n' "$memory" "$(resident_kb "$router")" "$(($(value failures <<<"$routed") + $(value failures <<<"$after")))"
}

echo "latency.sh: $seconds s a step, $connections connections, answers of 16 tokens, no randomness"
echo "Times in microseconds; memory of the router in KiB before and after its saturated run."
printf '%-8s %9s %9s %12s %8s %8s %8s %8s %8s %8s %8s %9s %9s %5s\n' answers bare/s router/s \
  "/s per core" at/s bare50 router50 bare99 router99 added50 added99 mem0 mem1 fails
measure whole "$whole_body"
measure stream "$stream_body"
stop_all
