#!/bin/sh
# Builds the stand-in that the scripts of the cases start, into target/. It needs nothing but Go's own library.
set -e
cd "$(dirname "$0")/standin"
CGO_ENABLED=0 go build -buildvcs=false -o ../../target/review-standin .
