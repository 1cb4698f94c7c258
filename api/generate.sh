#!/usr/bin/env bash
# Generates api/gen from api/openapi (ogen) and api/proto (buf, connect-go).
# The tools are built from tools/go.mod into .bin; see .ci/run.
set -euo pipefail
cd "$(dirname "$0")/.."
for doc in api/openapi/*.yaml; do
  [ -e "$doc" ] || continue
  name=$(basename "$doc" .yaml)
  .bin/ogen --loglevel error --target "api/gen/$name" --package "$name" --clean --config api/ogen.yml "$doc"
done
if compgen -G "api/proto/*/*/*.proto" >/dev/null; then
  PATH="$PWD/.bin:$PATH" .bin/buf generate api/proto --template api/buf.gen.yaml
fi
