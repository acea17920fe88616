#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves
# out the disruption.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
driver=build/review/case-$(basename "$folder")
[ -x "$driver" ] && [ -x target/services/proxy/catkinlanding-proxy ] || exit 2
TROUBLE=${TROUBLE:-1} timeout -k 5 115 "$driver" "$folder/record.txt"
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
