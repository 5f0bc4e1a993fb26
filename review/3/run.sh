#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the deploy file's build and review/build.sh.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
case=target/review/release/review-case
[ -x "$case" ] && [ -x target/release/chutecove-platform ] || {
    echo "not built: run the deploy file's build and review/build.sh"
    exit 2
}
exec "$case" forgotten-leave "$here/record.txt"
