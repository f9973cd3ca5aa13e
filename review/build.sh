#!/usr/bin/env bash
# Builds what the scripted cases start beside the programs of the deploy file: the cases' own program, which has the
# stand-ins of targets and clients, and the project's stand-in of the platform's store in it.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review/cases ./review/cases
