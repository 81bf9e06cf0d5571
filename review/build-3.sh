#!/bin/bash
# The stand-ins of cases 11 to 15 are plain programs for Node, without dependencies and
# without a build of their own: they are checked here.
set -e
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-5]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
