#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, the project's own too: they are Python, so nothing is
# compiled. Checks that they can be imported with what the build of the deploy file has installed.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD:$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1
python3 -c "import review.lib2.cell, review.lib2.executor, review.lib2.machines, review.lib2.store"
