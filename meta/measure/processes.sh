#!/usr/bin/env bash
# Measures the memory and processor time of idle daemon processes on loopback, for increasing numbers
# of them.
set -euo pipefail
exec build/release/utilities/process_costs/catkinlanding-process-costs "$@"
