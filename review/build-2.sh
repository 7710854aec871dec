#!/usr/bin/env bash
# Builds what the scripts of this review start beside the program. Their stand-ins are plain JavaScript that Node runs
# as it is, so there is nothing to compile: this only checks that Node can read each of them.
set -eu
cd "$(dirname "$0")"
for file in [4-8]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
