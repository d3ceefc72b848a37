# Starts the platform emulator, engines, services and entry instances as separate
# processes on loopback. Other scripts source this file; on exit it signals only
# the processes that it started. Set entries, engines, services and engine_flags
# before sourcing to override the defaults.
# Scripts that source this file use start, start_fleet, await_ready, pid_of, work, operators and callers.

entries=${entries:-3}
engines=${engines:-2}
services=${services:-1}
engine_flags=${engine_flags:-}

work=$(mktemp -d)
pids=()
declare -A pid_of

cleanup() {
  status=$?
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  if [ "$status" -ne 0 ]; then
    echo "failed; last log lines of each entry instance:" >&2
    tail -n 5 "$work"/entry-*.log >&2 || true
  fi
  rm -rf "$work"
  exit "$status"
}
trap cleanup EXIT

start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >>"$work/$name.log" 2>&1 &
  pids+=($!)
  pid_of[$name]=$!
}

await_ready() { # OPERATOR_ADDRESS
  for _ in $(seq 200); do
    if bin/loftctl status --instances "$1" 2>/dev/null | grep -q ' yes '; then return 0; fi
    sleep 0.05
  done
  echo "instance at $1 did not become ready" >&2
  return 1
}

export SAVORYLOFT_PLATFORM=127.0.0.1:7000
operators=$(seq "$entries" | sed 's/^/127.0.0.1:810/' | paste -sd, -)
callers=$(seq "$entries" | sed 's/^/127.0.0.1:800/' | paste -sd, -)
domains=(a b c d)

start_entry() { # NUMBER
  cat >"$work/entry-$1.json" <<SETTINGS
{
  "Instance": "entry-$1",
  "FailureDomain": "${domains[$((($1 - 1) % 4))]}",
  "Listen": {"Callers": "127.0.0.1:800$1", "Operators": "127.0.0.1:810$1", "Peers": "127.0.0.1:820$1"},
  "Platform": {"Address": "127.0.0.1:7000"},
  "Usage": {"Window": "5s", "Grace": "2s"}, // Short windows, so that reports are sent during the run.
  "Stop": {"Notice": "500ms", "Grace": "20s"}
}
SETTINGS
  start "entry-$1" bin/savoryloft serve --settings "$work/entry-$1.json"
}

instance_json() { # NAME KIND POOL ADDRESS NUMBER
  printf '{"Name": "%s", "Kind": "%s", "Pool": "%s", "Address": "%s", "FailureDomain": "%s", "State": "Live"}' \
    "$1" "$2" "$3" "$4" "${domains[$((($5 - 1) % 4))]}"
}

loopback_address() { # BASE NUMBER
  printf '127.0.0.1:%d' $(($1 + $2))
}

write_instances() { # Writes the platform's instance list: entry instances and, if $listed is set, upstreams.
  local rows=()
  for n in $(seq "$entries"); do rows+=("$(instance_json "entry-$n" Entry "" "127.0.0.1:820$n" "$n")"); done
  if [ -n "${listed:-}" ]; then
    for n in $(seq "$engines"); do rows+=("$(instance_json "engine-$n" Upstream chat "$(loopback_address 9000 "$n")" "$n")"); done
    for n in $(seq "$services"); do rows+=("$(instance_json "booking-$n" Upstream booking "$(loopback_address 9100 "$n")" "$n")"); done
  fi
  printf '%s\n' "${rows[@]}" | paste -sd, - | sed 's/^/{"Instances": [/; s/$/]}/' >"$work/instances.json"
}

start_fleet() {
  write_instances
  start platform bin/loftctl standin platform --listen 127.0.0.1:7000 --instances "$work/instances.json"
  for n in $(seq "$engines"); do
    # $engine_flags is unquoted because it holds several arguments.
    # shellcheck disable=SC2086
    start "engine-$n" bin/loftctl standin engine --listen "$(loopback_address 9000 "$n")" --name "engine-$n" $engine_flags
  done
  for n in $(seq "$services"); do
    start "booking-$n" bin/loftctl standin service --listen "$(loopback_address 9100 "$n")" --name "booking-$n"
  done
  for n in $(seq "$entries"); do start_entry "$n"; done
  for n in $(seq "$entries"); do await_ready "127.0.0.1:810$n"; done
}

lease_holder() { # [OPERATOR_ADDRESSES]; prints the number of the instance that holds the lease.
  for _ in $(seq 100); do
    local name
    name=$(bin/loftctl status --instances "${1:-$operators}" 2>/dev/null | sed -n 's/.*entry-\([0-9]\) (here).*/\1/p' | head -n 1)
    if [ -n "$name" ]; then echo "$name"; return 0; fi
    sleep 0.2
  done
  echo "no instance holds the lease" >&2
  return 1
}
