#!/bin/sh
# Builds the stand-ins of the second review. The deploy file's build has to run before.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -ldflags=-linkmode=external -o target/standin-2 ./review/standin-2
