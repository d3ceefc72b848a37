#!/usr/bin/env bash
# Fault injection against real processes: suspends the lease holder with SIGSTOP
# for longer than the lease TTL, then kills a lease holder with SIGKILL under load
# that includes bookings. Fails when a withdrawn key is accepted, more or fewer
# than one instance holds the lease, a booking runs more than once or a usage
# report is wrong.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/fleet.sh
start_fleet
bin/loftctl note publish --wait "$operators" examples/note.json
key=$(bin/loftctl key issue --account tsagaan --name tsagaan-1 --wait "$operators" | tail -n 1)

echo "== suspend the lease holder for 9 s; the lease TTL is 5 s"
frozen=$(lease_holder)
kill -STOP "${pid_of[entry-$frozen]}"
remaining_addresses=$(echo "$operators" | tr , '\n' | grep -v "810$frozen" | paste -sd, -)
sleep 7
next=$(lease_holder "$remaining_addresses")
echo "entry-$frozen was suspended, entry-$next holds the lease"
bin/loftctl key withdraw --name tsagaan-1 --wait "$remaining_addresses"
sleep 2
kill -CONT "${pid_of[entry-$frozen]}"
sleep 0.3
bin/loftctl load --targets "127.0.0.1:800$frozen" --key "$key" --expect-refused examples/held.json
count=$(bin/loftctl status --instances "$operators" | grep -c '(here)')
[ "$count" -eq 1 ] || { echo "$count instances hold the lease" >&2; exit 1; }

echo "== kill the lease holder under load"
key=$(bin/loftctl key issue --account tsagaan --name tsagaan-2 --wait "$operators" | tail -n 1)
killed=$(lease_holder)
bin/loftctl load --targets "$callers" --key "$key" examples/load.json >"$work/load.txt" 2>&1 &
load_pid=$!
sleep 2
kill -KILL "${pid_of[entry-$killed]}"
wait "$load_pid" || true # Responses of the killed instance are lost; only the number of runs is checked.
cat "$work/load.txt"
runs=$(bin/loftctl standin ask 127.0.0.1:9101 /standin/runs)
if echo "$runs" | grep -oE ':[0-9]+' | grep -qvx ':1'; then
  echo "a booking ran more than once: $runs" >&2
  exit 1
fi
remaining_addresses=$(echo "$operators" | tr , '\n' | grep -v "810$killed" | paste -sd, -)
sleep 8
echo "entry-$killed was killed, entry-$(lease_holder "$remaining_addresses") holds the lease"
start_entry "$killed"
await_ready "127.0.0.1:810$killed"
sleep 6
bin/loftctl usage verify
echo "faults passed"
