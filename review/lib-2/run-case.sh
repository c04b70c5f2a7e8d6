#!/usr/bin/env bash
# Runs one case: `run-case.sh N`. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -uo pipefail
cd "$(dirname "$0")/../.."
program="target/review-2/case-$1.cjs"
if [ ! -f "$program" ] || [ ! -f target/gingerlock.cjs ]; then
  echo "not built: run the build of deploy/service.toml, then review/build-2.sh" >&2
  exit 2
fi
TROUBLE="${TROUBLE:-1}" node "$program" "review/$1/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
