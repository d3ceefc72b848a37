#!/usr/bin/env bash
# Plays the deployments that are to be played before each landing.
#
#	scripts/regression.sh BENCH SITES [score|hunt]
#
# BENCH is the bench's program, SITES the directory of the deployments. The times are
# those of 6 cores with nothing else running. At most one line runs at a time, since
# two days of the large deployment are 390 processes. The first deployments (sites/)
# gave way to the large one when that passed its gate; they are hunted only.
set -uo pipefail
bench=$1 sites=$2 what=${3:-score}
status=0

play() { # DURATION ARGUMENTS...
  echo "== ${*:2} (about $1)"
  "$bench" "${@:2}" || status=1
}

case $what in
score)
  play "9 min" score "$sites/large/tsd-rackfleet-large.toml" --jobs 2
  play "6 min" score "$sites/further-grown/mwangaza-loft-grown.toml" --jobs 2
  play "3 min" score "$sites/further/mwangaza-loft.toml" --jobs 3
  play "1 min" score "$sites/grown/tsd-rackfleet-grown.toml" --quick --jobs 3
  play "2 min" score "$sites/grown/boleta-central-grown.toml" --quick --jobs 3
  ;;
hunt)
  play "10 min" hunt "$sites/large/tsd-rackfleet-large.toml" --days 8 --jobs 2
  for site in further-grown/mwangaza-loft-grown grown/tsd-rackfleet-grown grown/boleta-central-grown; do
    play "5 min" hunt "$sites/$site.toml" --days 8 --jobs 3
  done
  for site in further/mwangaza-loft sites/tsd-rackfleet sites/boleta-central; do
    play "3 min" hunt "$sites/$site.toml" --days 40 --jobs 5
  done
  ;;
*)
  echo "usage: scripts/regression.sh BENCH SITES [score|hunt]" >&2
  exit 2
  ;;
esac
exit $status
