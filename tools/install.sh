#!/usr/bin/env bash
# Installs the linter and formatter into .bin, at pinned versions. They stay out
# of go.mod: golangci-lint's whole module graph can't always be fetched, while
# installing the program by its version fetches only what it is built from.
set -eu
cd "$(dirname "$0")/.."
GOLANGCI_LINT=v2.15.0
GOFUMPT=v0.12.0
export GOBIN="$PWD/.bin"
mkdir -p "$GOBIN"
[ -x "$GOBIN/golangci-lint" ] || go install "github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$GOLANGCI_LINT"
[ -x "$GOBIN/gofumpt" ] || go install "mvdan.cc/gofumpt@$GOFUMPT"
