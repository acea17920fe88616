#!/usr/bin/env bash
# Measures the latency that the pin adds to the first request of a session, and the size of a pin.
set -euo pipefail
readonly tests=build/release/tests
"$tests/sessions_cost_process" | grep -E 'ms|session|later'
"$tests/pin_registry_test" | grep 'bytes'
