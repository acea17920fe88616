# Functions for scripts that start instances on loopback. Source it from the root of the source tree.
# Sets `folder` to a temporary folder; on exit, removes it and kills every process that was started
# with `start`.
readonly bin=build/release
folder=$(mktemp -d)
pids=()
operators=""

cleanup() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  rm -rf "$folder"
}
trap cleanup EXIT

# Runs catkinctl against the operators' listener at the address in `operators`.
ctl() { "$bin/utilities/ctl/catkinctl" --instance="$operators" "$@"; }

start() { # name, command...
  local name=$1
  shift
  "$@" >"$folder/$name.log" 2>&1 &
  pids+=($!)
}

start_instance() { # id; reads the settings from $folder/ID.json
  start "$1" "$bin/services/daemon/catkinlandingd" --settings="$folder/$1.json"
}

start_stand_in() { # id, further arguments for the stand-in
  local id=$1
  shift
  start "$id" "$bin/tests/stand_ins/endpoint_stand_in" --id="$id" "$@"
}

wait_until() { # command...
  for _ in $(seq 300); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "this never came true: $*" >&2
  tail -n 20 "$folder"/*.log >&2
  return 1
}

has_endpoints() { ctl --json status | grep -q "\"endpoints\":$1,"; } # number

stop_all() {
  for pid in "${pids[@]}"; do kill -TERM "$pid"; done
  for pid in "${pids[@]}"; do wait "$pid"; done
  pids=()
}
