#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/standin-2 ] && [ -x target/monsoonlatch-sidecar ] || { echo "run the build of the deploy file and review/build-2.sh first" >&2; exit 2; }
exec target/standin-2 lost-mark review/9
