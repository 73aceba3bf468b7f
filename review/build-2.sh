#!/bin/sh
# Builds the stand-ins of the second review's cases, after the build of the deploy file. It needs no network: they use the standard library only.
set -e
cd "$(dirname "$0")/standins-2"
mkdir -p ../../bin
CGO_ENABLED=0 GOWORK=off go build -o ../../bin/review-2 .
