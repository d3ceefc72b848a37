#!/usr/bin/env bash
# Runs all tests except the known failures in KNOWN-RED.txt, and prints that list.
set -euo pipefail
cd "$(dirname "$0")/.."
skip_pattern=$(sed -n 's/^test: //p' KNOWN-RED.txt | sed 's/^/^/; s/$/$/; s#/#$/^#g' | paste -sd '|' -)
if [ -n "$skip_pattern" ]; then
  echo "known red, passed over:"
  sed -n '/^#/!p' KNOWN-RED.txt
fi
race_flags=()
if [ "$(go env CGO_ENABLED)" = 1 ]; then
  race_flags=(-race)
else
  echo "cgo is disabled (no C compiler?): running without the race detector"
fi
# Tests of real processes whose memory is bounded run alone.
alone='^TestUntrustedClients$'
packages=(./...)
if [ "${#race_flags[@]}" -gt 0 ] && [ "$(go env GOHOSTARCH)" = arm64 ]; then
  echo "package server without the race detector, whose runtime ends in its tests on arm64"
  mapfile -t packages < <(go list ./... | grep -v '/savoryloft/server$')
  go test -timeout 8m -skip "${skip_pattern:+$skip_pattern|}$alone" "$@" ./server
fi
go test -timeout 8m "${race_flags[@]}" -skip "${skip_pattern:+$skip_pattern|}$alone" "$@" "${packages[@]}"
go test -timeout 8m -count 1 ${skip_pattern:+-skip "$skip_pattern"} -run "$alone" "$@" ./soaker
if [ "${#race_flags[@]}" -gt 0 ]; then
  echo "tests of large fleets and the longest ones of package server, without the race detector, whose runtime has ended in them"
  go test -timeout 8m -count 1 ${skip_pattern:+-skip "$skip_pattern"} -run Fleet "$@" ./launcher
  go test -timeout 8m -count 1 -run '^(TestFaultMatrix|TestAbsenceBeyondRetention)$' "$@" ./server
fi
