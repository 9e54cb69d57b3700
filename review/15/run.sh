#!/bin/sh
# Clients that have sent requests behind another one leave; the servers work on for them. Takes
# 40 s. Needs the build of the deploy file and review/build-3.sh. Exits with 1 if the rule was
# broken, 0 if it held, 2 if it couldn't run. With TROUBLE=0 no client leaves.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bergamotroad ] && [ -x target/review-3/harness3 ] || exit 2
exec target/review-3/harness3 pipeline target/bergamotroad review/15/record.txt
