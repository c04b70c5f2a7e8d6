#!/usr/bin/env bash
# The stand-ins of this folder are plain JavaScript and need no build. The cases start the controllers from target/, as
# the command `build` of deploy/service.toml leaves it.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f target/gingerlock.cjs ] || npm run --silent build
