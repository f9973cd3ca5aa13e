#!/bin/sh
# Builds the programs of the third review's cases, after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review3/ ./review/stage3
