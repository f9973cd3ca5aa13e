#!/usr/bin/env bash
# Prints the tests of known failures (KNOWN-RED.txt) as a pattern for go test's -skip; nothing if
# there are none.
set -eu
cd "$(dirname "$0")/.."
if [ -s KNOWN-RED.txt ]; then
  cut -d'|' -f1 KNOWN-RED.txt | tr -d ' ' | sed 's/.*/^&$/' | paste -sd'|' -
fi
