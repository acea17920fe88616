#!/usr/bin/env bash
# Runs the named measurement, a script in meta/measure/, with the remaining arguments.
set -euo pipefail
cd "$(dirname "$0")/.."
readonly name=${1:-}
if [ ! -f "meta/measure/$name.sh" ]; then
  echo "usage: meta/catkinlanding.sh measure NAME, with NAME one of:" >&2
  for file in meta/measure/*.sh; do echo "  $(basename "$file" .sh)" >&2; done
  exit 2
fi
shift
exec bash "meta/measure/$name.sh" "$@"
