#!/usr/bin/env bash
# Runs a scenario of scenarios/ against real processes at the users' sizes: 8
# entry instances, 20 or 10 engines, 4 services.
#
#   scripts/scenario.sh tsagaan-deel
set -euo pipefail
cd "$(dirname "$0")/.."
name=${1:?name a file of scenarios/ without its ending}
entries=8
services=4
engines=20
case $name in boleta-rapida*) engines=10 ;; esac
engine_flags="--batch 16 --first-token 90ms --between-tokens 28ms"
listed=yes
. scripts/fleet.sh
start_fleet
bin/loftctl note publish --wait "$operators" scenarios/note.json
key=$(bin/loftctl key issue --account tsagaan --name tsagaan-1 --wait "$operators" | tail -n 1)
bin/loftctl load --targets "$callers" --key "$key" "scenarios/$name.json"
bin/loftctl status --instances "$operators"
