#!/usr/bin/env bash
# Runs the whole-process tests, or those that are named.
set -eu
cd "$(dirname "$0")"
if [ $# -eq 0 ]; then
  python3 demo_verdict_test.py
  bash ../../tools/demo.sh
fi
exec python3 scenarios.py "$@"
