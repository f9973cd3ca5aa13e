#!/bin/sh
# Builds the program of the third review's scripts, with its stand-ins, after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review-3/ ./review/stage3
