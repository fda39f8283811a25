#!/bin/sh
# Builds the stand-in that the scripts of the cases start, into target/.
set -e
cd "$(dirname "$0")/standin"
go vet ./...
go build -buildvcs=false -ldflags=-linkmode=external -o ../../target/review-standin .
