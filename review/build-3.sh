#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. They need target/jujubeshed, which the
# build of the deploy file makes.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/standins-3 ./review/_standins-3
