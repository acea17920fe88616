#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10. Each holds the stand-ins of its case; the programs under
# review are those that the deploy file builds.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
  source=review/$number/case.cpp
  if [ -f "$source" ]; then
    g++ -std=c++20 -O1 -g -Wall -Wextra -Wno-missing-field-initializers -pthread -o "target/review-2/case-$number" "$source"
  fi
done
