#!/bin/sh
# Builds the programs that the scripts start, besides those of the deploy file, into review/bin. It needs the Go tool
# chain alone and no network.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
CGO_ENABLED=0 GOFLAGS=-buildvcs=false GOPROXY=off go build -o bin/ ./...
