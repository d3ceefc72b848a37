#!/usr/bin/env bash
# Measures the overhead of an entry instance: added latency (the same load plan
# against the emulators directly and through one instance), allocations and CPU
# time per request, and resource use when idle.
set -euo pipefail
cd "$(dirname "$0")/.."
entries=8
. scripts/fleet.sh
start_fleet
bin/loftctl note publish --wait "$operators" examples/note.json >/dev/null
key=$(bin/loftctl key issue --account tsagaan --name tsagaan-1 --wait "$operators" | tail -n 1)
grep -v '"service"' examples/latency.json | sed '/"whole"/s/},$/}/' >"$work/chat.json"
grep -v -e '"streamed"' -e '"whole"' examples/latency.json >"$work/service.json"

resource_counters() { # Prints the malloc count and CPU seconds of entry-1.
  bin/loftctl standin ask 127.0.0.1:8101 /metrics | awk '/mallocs_total/ {m=$2} /cpu_seconds_total/ {c=$2} END {print m, c}'
}

measure_through_instance() { # PLAN
  local before after
  before=$(resource_counters)
  bin/loftctl load --targets 127.0.0.1:8001 --key "$key" "$1" | tee "$work/out.txt"
  after=$(resource_counters)
  echo "$before $after $(awk 'NR > 1 {n += $2} END {print n}' "$work/out.txt")" |
    awk '{printf "%d requests, %.0f allocations and %.3f ms of CPU time per request, background work included\n", $5, ($3-$1)/$5, 1000*($4-$2)/$5}'
}

echo "== idle for 20 s"
before=$(resource_counters)
sleep 20
echo "$before $(resource_counters)" | awk '{printf "%.2f%% of a core, %.0f allocations per second\n", 100*($4-$2)/20, ($3-$1)/20}'
bin/loftctl standin ask 127.0.0.1:8101 /metrics | grep -E 'heap_bytes|memory_bytes|goroutines'
grep VmRSS "/proc/${pid_of[entry-1]}/status"

for round in 1 2; do
  echo "== round $round, direct"
  bin/loftctl load --targets 127.0.0.1:9001,127.0.0.1:9002 "$work/chat.json"
  bin/loftctl load --targets 127.0.0.1:9101 "$work/service.json"
  echo "== round $round, through entry-1"
  measure_through_instance "$work/chat.json"
  measure_through_instance "$work/service.json"
done
