#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves
# out the disruption.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
[ -x target/review-2/case-7 ] && [ -x target/services/proxy/catkinlanding-proxy ] || exit 2
exec timeout --kill-after=5 115 target/review-2/case-7 "$folder"
