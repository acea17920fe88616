#!/usr/bin/env bash
# Measures how the costs of the reducers grow with their input, for docs/CAPACITY.md.
set -euo pipefail
exec build/release/utilities/capacity/catkinlanding-capacity "$@"
