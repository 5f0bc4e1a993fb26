#!/bin/sh
# Runs the case; needs the build of the deploy file and review/build-2.sh. Exits with 1 if the rule was
# broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/release/standins-2 ] || exit 2
[ -x target/release/chutecove-platform ] || exit 2
exec target/review-2/release/standins-2 removal review/4/record.txt
