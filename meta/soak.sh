#!/usr/bin/env bash
# Runs all randomised tests repeatedly for a given time, with a new seed in each round.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=60
seed=1
while [ $# -gt 0 ]; do
  case "$1" in
    --seconds) seconds=$2; shift 2 ;;
    --seed) seed=$2; shift 2 ;;
    *) echo "usage: meta/catkinlanding.sh soak [--seconds N] [--seed S]" >&2; exit 2 ;;
  esac
done
failed=0
rounds=0
end=$((SECONDS + seconds))
while [ "$SECONDS" -lt "$end" ]; do
  for program in build/release/tests/*_property; do
    if ! RC_PARAMS="seed=$seed max_success=200" "$program" >build/soak.log 2>&1; then
      failed=$((failed + 1))
      echo "failed: $(basename "$program"), RC_PARAMS=\"seed=$seed max_success=200\""
      grep -A 12 -E 'Falsifiable|invariant broken' build/soak.log || tail -n 12 build/soak.log
    fi
  done
  rounds=$((rounds + 1))
  seed=$((seed + 1))
done
echo "$rounds rounds over all randomised tests, last seed $((seed - 1)), $failed failed"
[ "$failed" -eq 0 ]
