#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: compiles them and checks that
# they can be loaded. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins review/[1-5] review/other
PYTHONPATH=review python3 -c "import standins.scenario"
