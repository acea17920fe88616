#!/usr/bin/env bash
# Measures the latency that a claim adds to a request, the size of a claim, and the time until bills
# are safe after an instance is killed.
set -euo pipefail
readonly tests=build/release/tests
"$tests/claims_cost_process" | grep -E 'ms|idempotent'
"$tests/registry_test" | grep 'bytes'
"$tests/billing_process" | grep 'after the kill'
