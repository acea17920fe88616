#!/usr/bin/env bash
# Measures the time from the start of `catalogue apply` until every running instance has the new
# revision. Nine instances run as processes in three availability zones: all healthy, with one voter
# killed beforehand, and with the leader killed as the apply starts. The times include starting
# catkinctl for the apply and for each check.
# Usage: measure distribution [CHANGES]
set -euo pipefail
cd "$(dirname "$0")/../.."
readonly bin=build/release changes=${1:-20}
readonly first_port=${CATKINLANDING_PORT:-7400}
readonly ids=(a1 a2 a3 b1 b2 b3 c1 c2 c3)
folder=$(mktemp -d)
declare -A pids=() ports=()

cleanup() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  rm -rf "$folder"
}
trap cleanup EXIT

ctl() { # instance, arguments...
  local id=$1
  shift
  "$bin/utilities/ctl/catkinctl" --json --instance="127.0.0.1:$((ports[$id] + 20))" "$@"
}

write_settings() {
  local instances="" id separator="" data control
  for id in "${ids[@]}"; do
    control=$([[ $id == *1 ]] && echo true || echo false)
    instances+="$separator{\"id\": \"$id\", \"zone\": \"${id:0:1}\", \"ip\": \"127.0.0.1\", \"port\": ${ports[$id]}, \"control\": $control}"
    separator=","
  done
  for id in "${ids[@]}"; do
    data=$([[ $id == *1 ]] && echo "\"data_folder\": \"$folder/$id.data\"," || true)
    cat >"$folder/$id.json" <<SETTINGS
{"id": "$id", $data
 "callers": {"ip": "127.0.0.1", "port": $((ports[$id] + 40))},
 "operators": {"ip": "127.0.0.1", "port": $((ports[$id] + 20))},
 "instances": [$instances]}
SETTINGS
  done
}

wait_until() { # command...
  for _ in $(seq 600); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.05
  done
  echo "this never came true: $*" >&2
  return 1
}

revision_of() { ctl "$1" status | sed -n 's/.*"revision":\([0-9]*\).*/\1/p'; }
has_voters() { ctl a1 status | grep -q '"learners":\[\].*"voters":\["[^]]*",[^]]*,[^]]*\]'; }

write_catalogue() { # deadline
  cat >"$folder/catalogue.json" <<CATALOGUE
{"classes": [{"id": "interactive", "owner": "ops", "class": "interactive", "deadline_ms": $1}]}
CATALOGUE
}

has_everywhere() { # revision
  local id
  for id in "${!pids[@]}"; do
    [ "$(revision_of "$id")" -ge "$1" ] || return 1
  done
}

start() { # instance
  "$bin/services/daemon/catkinlandingd" --settings="$folder/$1.json" >>"$folder/$1.log" 2>&1 &
  pids[$1]=$!
  disown
}

stop() { # instance
  kill -KILL "${pids[$1]}"
  unset "pids[$1]"
}

leader_of() { ctl "$1" status | sed -n 's/.*"leader":"\([^"]*\)".*/\1/p'; }

measure() { # label, instance that receives the changes, number of changes, command run before each
  local times=() before started count=$3
  for _ in $(seq "$count"); do
    write_catalogue $((deadline++))
    before=$(revision_of "$2")
    started=$(date +%s%N)
    "${@:4}"
    until ctl "$2" catalogue apply "$folder/catalogue.json" >/dev/null; do :; done
    until has_everywhere $((before + 1)) 2>/dev/null; do :; done
    times+=($((($(date +%s%N) - started) / 1000000)))
  done
  mapfile -t times < <(printf '%s\n' "${times[@]}" | sort -n)
  printf '| %s | %d | %d ms | %d ms |\n' "$1" "$count" "${times[$((count / 2))]}" "${times[-1]}"
}

port=$first_port
for id in "${ids[@]}"; do ports[$id]=$((port++)); done
write_settings
for id in "${ids[@]}"; do start "$id"; done
deadline=20000
wait_until ctl a1 voters found a1 b1 c1
wait_until has_voters
echo "| nine instances, three voters | changes | median | worst |"
echo "|---|---|---|---|"
measure "healthy" b2 "$changes" true
victim=$([ "$(leader_of a1)" = c1 ] && echo b1 || echo c1)
stop "$victim"
measure "one voter killed before, not the leader" a2 "$changes" true
start "$victim"
wait_until has_voters

kill_leader() {
  for id in "${ids[@]}"; do [ -n "${pids[$id]:-}" ] || start "$id"; done
  wait_until has_everywhere "$before"
  killed=$(leader_of b2)
  killed=${killed:-$(leader_of "$victim")}
  started=$(date +%s%N)
  stop "$killed"
}
measure "the leader killed as the apply starts" b2 "$((changes / 4))" kill_leader
