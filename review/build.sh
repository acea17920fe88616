#!/usr/bin/env bash
# Builds the drivers of the scripts, with the stand-ins they contain, into build/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review
for source in review/[1-5]/case.cpp; do
  number=$(basename "$(dirname "$source")")
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread review/support/*.cpp "$source" \
    -o "build/review/case-$number"
done
