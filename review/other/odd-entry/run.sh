#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case cannot run.
cd "$(dirname "$0")/../../.." || exit 2
PYTHONPATH=review exec python3 review/other/odd-entry/scenario.py
