#!/usr/bin/env bash
# Builds what the scripts of the third review start. The stand-ins, the project's own too, are
# plain Python: they are compiled and loaded with the packages that the deploy file's build has laid
# out, and nothing else.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:."
python3 -m compileall -q review/lib3 review/1[1-5] tests/platform/standin
python3 - <<'PROGRAM'
import importlib

for name in ("clients", "executors", "http", "ports", "store"):
    importlib.import_module(f"tests.platform.standin.{name}")
importlib.import_module("review.lib3.cell")
PROGRAM
echo "the stand-ins of review/11 to review/15 are ready"
