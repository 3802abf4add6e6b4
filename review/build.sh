#!/bin/sh
# The stand-ins of the cases are plain programs of Node.js 20 beside this file,
# which need no build step; the project's own stand-ins are not used. This only
# checks that all of them can be read.
cd "$(dirname "$0")/.." || exit 2
for file in review/lib/*.mjs review/[1-5]/case.mjs; do
  node --check "$file" || exit 1
done
