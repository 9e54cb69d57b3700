#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, from the standard library alone.
set -eu
cd "$(dirname "$0")"
go build -o ../target/review/ ./standin
