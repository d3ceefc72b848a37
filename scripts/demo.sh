#!/usr/bin/env bash
# Runs the main job with stand-ins, as separate processes on loopback, and
# fails when any step fails. Ends only the processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
pids=()

finish() {
  status=$?
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  if [ "$status" -ne 0 ]; then
    echo "demo failed; last log lines of the instances:" >&2
    tail -n 5 "$work"/entry-*.log >&2 || true
  fi
  rm -rf "$work"
  exit "$status"
}
trap finish EXIT

start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
}

await() { # ADDRESS PATH
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

cat >"$work/instances.json" <<LIST
{"Instances": [
  {"Name": "entry-1", "Kind": "Entry", "Address": "127.0.0.1:8201", "FailureDomain": "a", "State": "Live"},
  {"Name": "entry-2", "Kind": "Entry", "Address": "127.0.0.1:8202", "FailureDomain": "b", "State": "Live"},
  {"Name": "entry-3", "Kind": "Entry", "Address": "127.0.0.1:8203", "FailureDomain": "c", "State": "Live"}
]}
LIST

echo "== start the platform's stand-in, two engines, a service and three entry instances"
start platform bin/loftctl standin platform --listen 127.0.0.1:7000 --instances "$work/instances.json"
start engine-1 bin/loftctl standin engine --listen 127.0.0.1:9001 --name engine-1
start engine-2 bin/loftctl standin engine --listen 127.0.0.1:9002 --name engine-2
start booking-1 bin/loftctl standin service --listen 127.0.0.1:9101 --name booking-1
domains=(a b c)
for n in 1 2 3; do
  cat >"$work/entry-$n.json" <<SETTINGS
{
  "Instance": "entry-$n",
  "FailureDomain": "${domains[$((n - 1))]}",
  "Listen": {"Callers": "127.0.0.1:800$n", "Operators": "127.0.0.1:810$n", "Peers": "127.0.0.1:820$n"},
  "Platform": {"Address": "127.0.0.1:7000"},
  "Usage": {"Window": "5s", "Grace": "2s"}, // Short windows, so that the demo sees reports.
  "Stop": {"Notice": "500ms", "Grace": "20s"}
}
SETTINGS
  start "entry-$n" bin/savoryloft serve --settings "$work/entry-$n.json"
done
entries=("${pids[@]: -3}")
for n in 1 2 3; do await "127.0.0.1:810$n"; done

echo "== publish the first release note and issue keys"
bin/loftctl note check examples/note.json
bin/loftctl note publish --wait "$operators" examples/note.json
key=$(bin/loftctl key issue --account tsagaan --name tsagaan-1 --wait "$operators" | tail -n 1)
held=$(bin/loftctl key issue --account cadena --name cadena-1 --wait "$operators" | tail -n 1)

echo "== send streamed, plain and non-idempotent requests through all instances"
bin/loftctl load --targets "$callers" --key "$key" examples/load.json

echo "== withdraw a key while its callers are connected"
bin/loftctl load --targets "$callers" --key "$held" examples/held.json >"$work/held.txt" &
holder=$!
sleep 1
bin/loftctl key withdraw --name cadena-1 --wait "$operators"
wait "$holder" && { echo "streams of a withdrawn key were answered in full" >&2; exit 1; }
cat "$work/held.txt"
bin/loftctl load --targets "$callers" --key "$held" --expect-refused examples/held.json

echo "== usage windows and reports"
sleep 7
bin/loftctl usage show
bin/loftctl usage verify
bin/loftctl status --instances "$operators"

echo "== planned stop of all instances"
for pid in "${entries[@]}"; do kill -TERM "$pid"; done
for pid in "${entries[@]}"; do wait "$pid"; done
echo "demo passed"
