#!/bin/sh
# Builds the stand-ins that the scripts in review/11 to review/15 start. The deploy build must have run before.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-3/standin-3 ./review/standin-3
