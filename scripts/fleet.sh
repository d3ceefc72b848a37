# Functions that start a platform stand-in, two engines, a service and three
# entry instances as separate processes on loopback. Sourced by the scripts
# that need a fleet; ends only the processes that it started.

work=$(mktemp -d)
pids=()
declare -A pid_of

finish() {
  status=$?
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  if [ "$status" -ne 0 ]; then
    echo "failed; last log lines of the instances:" >&2
    tail -n 5 "$work"/entry-*.log >&2 || true
  fi
  rm -rf "$work"
  exit "$status"
}
trap finish EXIT

start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >>"$work/$name.log" 2>&1 &
  pids+=($!)
  pid_of[$name]=$!
}

await_ready() { # OPERATORS' ADDRESS
  for _ in $(seq 200); do
    if bin/loftctl status --instances "$1" 2>/dev/null | grep -q ' yes '; then return 0; fi
    sleep 0.05
  done
  echo "instance at $1 did not become ready" >&2
  return 1
}

export SAVORYLOFT_PLATFORM=127.0.0.1:7000
operators=127.0.0.1:8101,127.0.0.1:8102,127.0.0.1:8103
callers=127.0.0.1:8001,127.0.0.1:8002,127.0.0.1:8003

start_entry() { # NUMBER
  local domains=(a b c)
  cat >"$work/entry-$1.json" <<SETTINGS
{
  "Instance": "entry-$1",
  "FailureDomain": "${domains[$(($1 - 1))]}",
  "Listen": {"Callers": "127.0.0.1:800$1", "Operators": "127.0.0.1:810$1", "Peers": "127.0.0.1:820$1"},
  "Platform": {"Address": "127.0.0.1:7000"},
  "Usage": {"Window": "5s", "Grace": "2s"}, // Short windows, so that reports can be seen.
  "Stop": {"Notice": "500ms", "Grace": "20s"}
}
SETTINGS
  start "entry-$1" bin/savoryloft serve --settings "$work/entry-$1.json"
}

start_fleet() {
  cat >"$work/instances.json" <<LIST
{"Instances": [
  {"Name": "entry-1", "Kind": "Entry", "Address": "127.0.0.1:8201", "FailureDomain": "a", "State": "Live"},
  {"Name": "entry-2", "Kind": "Entry", "Address": "127.0.0.1:8202", "FailureDomain": "b", "State": "Live"},
  {"Name": "entry-3", "Kind": "Entry", "Address": "127.0.0.1:8203", "FailureDomain": "c", "State": "Live"}
]}
LIST
  start platform bin/loftctl standin platform --listen 127.0.0.1:7000 --instances "$work/instances.json"
  start engine-1 bin/loftctl standin engine --listen 127.0.0.1:9001 --name engine-1
  start engine-2 bin/loftctl standin engine --listen 127.0.0.1:9002 --name engine-2
  start booking-1 bin/loftctl standin service --listen 127.0.0.1:9101 --name booking-1
  for n in 1 2 3; do start_entry "$n"; done
  for n in 1 2 3; do await_ready "127.0.0.1:810$n"; done
}

holder() { # Prints the number of the instance that holds the lease.
  for _ in $(seq 100); do
    local name
    name=$(bin/loftctl status --instances "${1:-$operators}" 2>/dev/null | sed -n 's/.*entry-\([0-9]\) (here).*/\1/p' | head -n 1)
    if [ -n "$name" ]; then echo "$name"; return 0; fi
    sleep 0.2
  done
  echo "no instance holds the lease" >&2
  return 1
}
