#!/usr/bin/env bash
# Builds the programs of the cases 4 to 8, each with its stand-ins, below target/review-2. Runs after the build of the
# deploy file, from any folder, and needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
for case in review/[4-8]/case.mjs; do
  number="$(basename "$(dirname "$case")")"
  node_modules/.bin/esbuild "$case" --bundle --platform=node --target=node20 --format=cjs --log-level=warning \
    --alias:msgpackr=./node_modules/msgpackr/index.js --outfile="target/review-2/case-$number.cjs"
done
