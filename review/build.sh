#!/bin/bash
# Builds the stand-ins of the review into review/bin. It needs Go and no network: they use the standard library only.
set -e
cd "$(dirname "$0")/standins"
go build -o ../bin/standins .
