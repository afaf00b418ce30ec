#!/usr/bin/env bash
# Plays the case once: exit 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 plays it without the disruption. It needs the build of the deploy file and build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/standin ] || exit 2
exec timeout -k 5 115 target/standin garbage review/2/record.txt
