#!/usr/bin/env bash
# Runs a load plan from scenarios/ against real processes at the size of users'
# deployments: 8 entry instances, 20 engines (10 for boleta-rapida) and 4 services.
#
#   scripts/scenario.sh tsagaan-deel
set -euo pipefail
cd "$(dirname "$0")/.."
name=${1:?pass the name of a file in scenarios/ without its extension}
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
