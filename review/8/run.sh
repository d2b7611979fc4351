#!/bin/sh
# Plays the case stale-list. Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/lagoonheadd ] && [ -x target/standin-2 ] || exit 2
exec target/standin-2 stale-list review/8/record.txt target/lagoonheadd
