#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript in review/, without dependencies: only their syntax is checked.
set -e
cd "$(dirname "$0")"
find . -name '*.mjs' -print0 | xargs -0 -n 1 node --check
