#!/usr/bin/env bash
# Checks and compiles what the scripts start; the packages are those of the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps PYTHONPYCACHEPREFIX=target/review
python3 -c "import orjson, httptools, capnp"
python3 -m compileall -q review tests/platform/standin deploy/start.py
PYTHONPATH=target/deps:. python3 -c "import review.lib.cell"
