#!/bin/sh
# Builds the stand-ins that the scripts of the second review start, as target/review2.
# It needs no network and no packages besides the standard library.
set -e
cd "$(dirname "$0")/harness-2"
mkdir -p ../../target
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review2 .
