#!/usr/bin/env bash
# End-to-end test against the emulators, all as separate processes on loopback.
# Exits with an error when any step fails.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/fleet.sh

echo "== start the platform emulator, two engines, one service and three entry instances"
start_fleet

echo "== publish the first release note and issue keys"
bin/loftctl note check examples/note.json
bin/loftctl note publish --wait "$operators" examples/note.json
key=$(bin/loftctl key issue --account tsagaan --name tsagaan-1 --wait "$operators" | tail -n 1)
withdrawn_key=$(bin/loftctl key issue --account cadena --name cadena-1 --wait "$operators" | tail -n 1)

echo "== send streamed, plain and non-idempotent requests through all instances"
bin/loftctl load --targets "$callers" --key "$key" examples/load.json

echo "== withdraw a key while requests with it are being streamed"
bin/loftctl load --targets "$callers" --key "$withdrawn_key" examples/held.json >"$work/held.txt" 2>&1 &
load_pid=$!
sleep 1
bin/loftctl key withdraw --name cadena-1 --wait "$operators"
wait "$load_pid" && { echo "streams of a withdrawn key were answered in full" >&2; exit 1; }
cat "$work/held.txt"
bin/loftctl load --targets "$callers" --key "$withdrawn_key" --expect-refused examples/held.json

echo "== show and verify usage reports"
sleep 7
bin/loftctl usage show
bin/loftctl usage verify
bin/loftctl status --instances "$operators"

echo "== graceful shutdown of all instances"
for n in 1 2 3; do kill -TERM "${pid_of[entry-$n]}"; done
for n in 1 2 3; do wait "${pid_of[entry-$n]}"; done
echo "demo passed"
