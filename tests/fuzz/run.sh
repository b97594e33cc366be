#!/usr/bin/env bash
# Runs each fuzz target for some time: run.sh [SECONDS], by default 60.
set -eu
cd "$(dirname "$0")/../.."
for name in ledger peer config calls reports documents; do
  corpus=build/corpus/$name
  mkdir -p "$corpus"
  build/fuzz/tests/fuzz/fuzz_$name -max_total_time="${1:-60}" -seed=1 \
    -max_len=4096 -timeout=5 -print_final_stats=1 "$corpus" 2>&1 |
    grep -E 'SUMMARY|ERROR|number_of_executed_units|cov:' | tail -3
done
