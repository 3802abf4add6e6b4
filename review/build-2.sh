#!/bin/sh
# The stand-ins of cases 6 to 10 are plain modules of Node.js, so nothing is
# compiled; this checks that each can be parsed.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs */run.mjs
do
  node --check "$file"
done
