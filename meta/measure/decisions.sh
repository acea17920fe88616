#!/usr/bin/env bash
# Simulates the routing policy and the baseline policies in every scenario, with the same seeds.
# Arguments are passed to the program; see its --help.
set -euo pipefail
exec build/release/utilities/experiment/catkinlanding-experiment "$@"
