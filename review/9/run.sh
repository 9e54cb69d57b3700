#!/bin/sh
# Runs the case from any folder, after the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
exec target/review2 poison review/9
