#!/bin/sh
# The stand-ins of the cases are plain Node modules without dependencies, so
# nothing has to be compiled. This checks that each of them can be parsed.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
  node --check "$file"
done
