#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/ ./review/stage2 ./review/stage3
