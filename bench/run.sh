#!/usr/bin/env bash
# Runs all benchmarks. Prints the results and stores them in bench/results.
set -eu
cd "$(dirname "$0")/.."
for seed in 1 2 3; do
  build/release/bench/policy-bench $seed | tee bench/results/policies-$seed.txt
done
build/release/bench/choice-bench | tee bench/results/choices.txt
build/release/bench/decision-bench | tee bench/results/decisions.txt
build/release/bench/engine-bench | tee bench/results/engine.txt
python3 bench/overhead.py | tee bench/results/overhead.txt
python3 bench/control.py 16 53 | tee bench/results/control.txt
python3 bench/overload.py | tee bench/results/overload.txt
python3 bench/leaving.py | tee bench/results/leaving.txt
