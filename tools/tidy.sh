#!/usr/bin/env bash
# Runs clang-tidy on all sources, one process per processor core.
set -eu
cd "$(dirname "$0")/.."
git ls-files 'packages/*.cpp' 'platform/*.cpp' 'stand_ins/*.cpp' |
  xargs -P "$(nproc)" -n 2 clang-tidy --quiet -p build/release 2>/dev/null
