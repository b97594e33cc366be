#!/usr/bin/env bash
# Runs the tests with real processes: run.sh [SCENARIO...]. Without arguments
# also runs the demonstration and the test of its check.
set -eu
cd "$(dirname "$0")"
if [ $# -eq 0 ]; then
  python3 demo_verdict_test.py
  bash ../../tools/demo.sh
fi
exec python3 scenarios.py "$@"
