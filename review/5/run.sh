#!/bin/sh
# Plays the case "leaving" with the stand-ins that review/build.sh builds.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/standin ] && [ -x target/lagoonheadd ] || exit 2
exec target/standin leaving review/5
