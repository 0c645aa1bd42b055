#!/usr/bin/env bash
# Plays the case and writes record.txt beside this script, after the build of the deploy
# file and review/build.sh. With TROUBLE=0 the request crashes no server; with CRASH=loud
# the connections of a server end as it crashes. Exit code: 1 if the rule was broken, 0 if
# it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/rig ] && [ -x target/almondstep-entry ] || exit 2
exec target/review/rig crasher review/3/record.txt
