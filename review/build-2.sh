#!/bin/sh
# Builds the stand-ins of the second review: one program, on the standard library alone. The relay's programs come from the build of the
# deploy file.
set -e
cd "$(dirname "$0")"
mkdir -p ../bin
CGO_ENABLED=0 go build -buildvcs=false -o ../bin/review2 ./rig2
