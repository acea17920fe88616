# Starts, for measurements on loopback, an entry instance in front of one engine stand-in and, in the
# same zone, the control instance that holds the ledger. An answer is sent once its bill is
# replicated to the other instance, as in a deployment, without waiting for a disk write. Source it
# after loopback.sh. Sets `router` and `ledger` to the process ids, and `router_port` and
# `engine_port`.
readonly ledger_port=7300 engine_port=7303 router_port=7310
readonly load="$bin/utilities/load/catkinlanding-load"

write_router_settings() { # id, port, further fields
  cat >"$folder/$1.json" <<SETTINGS
{
  "id": "$1", "log_level": "warning", $3
  "callers": {"ip": "127.0.0.1", "port": $2},
  "operators": {"ip": "127.0.0.1", "port": $(($2 + 1))},
  "instances": [
    {"id": "ledger", "zone": "m", "ip": "127.0.0.1", "port": $((ledger_port + 2)), "control": true},
    {"id": "router", "zone": "m", "ip": "127.0.0.1", "port": $((router_port + 2))}
  ]
}
SETTINGS
}

write_router_catalogue() {
  cat >"$folder/catalogue.json" <<CATALOGUE
{
  "classes": [{"id": "c", "owner": "o", "class": "c"}],
  "models": [{"id": "hat", "owner": "o", "class": "c"}],
  "versions": [{"model": "hat", "id": "1", "owner": "o", "class": "c",
                "price_per_thousand_tokens": 1000}],
  "customers": [{"id": "guild", "owner": "o", "class": "c", "keys": ["key"],
                 "allow": [{"model": "hat"}]}]
}
CATALOGUE
}

# Whether the router sends requests to the engine, which starts shortly after the first announcement
# of the engine arrives.
is_answering() {
  $load --connections=1 --requests=1 --target=127.0.0.1:$router_port --key=key
}

# Starts both instances and the engine stand-in. The entry instance runs under the given command, if
# any (valgrind, for example).
start_router() { # command...
  write_router_settings ledger $ledger_port "\"data_folder\": \"$folder/data\","
  write_router_settings router $router_port ""
  write_router_catalogue
  start_instance ledger
  readonly ledger=${pids[-1]}
  start router "$@" "$bin/services/daemon/catkinlandingd" --settings="$folder/router.json"
  readonly router=${pids[-1]}
  start_stand_in engine --zone=m --port=$engine_port --entries=$router_port,$ledger_port \
    --versions=hat/1 --tokens=16
  operators=127.0.0.1:$((ledger_port + 1))
  wait_until ctl voters found ledger
  wait_until ctl --wait catalogue apply "$folder/catalogue.json"
  operators=127.0.0.1:$((router_port + 1))
  wait_until has_endpoints 1
  wait_until is_answering
}

readonly whole_body='{"model":"hat","messages":[]}'
readonly stream_body='{"model":"hat","stream":true,"messages":[]}'

# Prints the value that follows a name in the output of the load generator.
value() { sed -n "s/.*\b$1 \([0-9]*\).*/\1/p"; } # name
resident_kb() { sed -n 's/^VmRSS:[[:space:]]*\([0-9]*\).*/\1/p' "/proc/$1/status"; } # process id
