#!/usr/bin/env bash
# Measures the times of leader elections, commits and a full restart with three control instances on
# loopback.
set -euo pipefail
exec build/release/utilities/control_times/catkinlanding-control-times "$@"
