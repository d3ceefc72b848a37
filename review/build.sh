#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases into target/.
set -euo pipefail
cd "$(dirname "$0")/lab"
GOWORK=off go build -buildvcs=false -o ../../target/review-lab .
