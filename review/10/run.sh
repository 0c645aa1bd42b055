#!/usr/bin/env bash
# Plays the scenario rest. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 leaves out the disruption.
set -u
cd "$(dirname "$0")/../.."
rig=target/review-2/rig2
entry=target/almondstep-entry
if [ ! -x "$rig" ] || [ ! -x "$entry" ]; then
  echo "build first: the build of deploy/system.toml, then review/build-2.sh"
  exit 2
fi
timeout -k 5 110 "$rig" rest "$entry" review/10/record.txt
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
