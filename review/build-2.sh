#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 and later start. Run it after the build of
# deploy/system.toml, from any folder.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review2 ./review/_standins-2
