#!/bin/sh
# Builds the stand-ins of the scripts in review/6 and later. They are plain modules of
# Node that need no build step: this checks that each one can be parsed.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
