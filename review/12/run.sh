#!/bin/sh
# All processes are killed early in the rollout of a version that is bad under load. Takes 52 s.
# Needs the build of the deploy file and review/build-3.sh. Exits with 1 if the rule was broken,
# 0 if it held, 2 if it couldn't run. With TROUBLE=0 no process is killed.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bergamotroad ] && [ -x target/review-3/harness3 ] || exit 2
exec target/review-3/harness3 rollout target/bergamotroad review/12/record.txt
