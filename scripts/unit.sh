#!/usr/bin/env bash
# Runs all tests but those named in KNOWN-RED.txt (lines "test: NAME" or "test: NAME/SUBTEST"), which it prints.
set -euo pipefail
cd "$(dirname "$0")/.."
skip=""
if [ -s KNOWN-RED.txt ]; then
  echo "known failures, not run:"
  sed 's/^/  /' KNOWN-RED.txt
  skip=$(sed -n 's/^test: *\([A-Za-z0-9_/]*\).*/\1/p' KNOWN-RED.txt | sed 's|/|$/^|g; s/.*/^&$/' | paste -sd'|' -)
fi
run() { # run ARG...: runs go test with the skip list
  if [ -n "$skip" ]; then set -- -skip "$skip" "$@"; fi
  "${GO:-go}" test -count=1 -timeout 20m "$@"
}

# Package hostile measures the memory of processes under crowds of clients. It runs after all others and alone, so that
# neither disturbs the other. Both steps run in any case; a failure of either fails the script.
hostile=./test/hostile
others=$("${GO:-go}" list ./... | grep -v "/test/hostile$")
status=0
# shellcheck disable=SC2086 # one argument for each package
run $others || status=$?
run -p 1 "$hostile" || status=$?
exit "$status"
