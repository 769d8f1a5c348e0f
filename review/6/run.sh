#!/bin/sh
# Needs the build of the deploy file and of review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/stand-in-3 ] && [ -x target/release/daisysilld ] || exit 2
exec target/review/stand-in-3 replacement review/6
