#!/bin/sh
# Builds the stand-ins that the scripts of the third review start, into target/review-3/.
# It needs nothing but Go and its standard library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
cd review/harness-3
GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/review-3/harness3 .
