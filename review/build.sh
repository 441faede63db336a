#!/bin/sh
# Builds the programs that the scripts start, besides those of the deploy file, into bin/, where the deploy file's build
# line puts its own. It needs the Go tool chain alone and no network.
set -eu
cd "$(dirname "$0")"
mkdir -p ../bin
for n in 1 2; do
	CGO_ENABLED=0 GOFLAGS=-buildvcs=false GOPROXY=off go build -ldflags='-s -w' -o "../bin/review-case$n" "./case$n"
done
