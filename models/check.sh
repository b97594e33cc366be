#!/usr/bin/env bash
# Checks the models exhaustively, and that each broken variant is rejected.
set -u
cd "$(dirname "$0")"
WORK=$(mktemp -d)
trap 'rm -rf "$WORK"' EXIT
passed=0
failed=0

check() { # MODEL WANTED [-DVARIANT]
  local model=$1 wanted=$2 variant=${3:-}
  rm -f "$WORK"/*
  cp "$model.pml" "$WORK"
  (cd "$WORK" && spin -a $variant "$model.pml" >spin.txt &&
    cc -O2 -DSAFETY -DNOREDUCE -DMEMLIM=2048 -o pan pan.c 2>/dev/null &&
    ./pan -m100000 >out.txt 2>&1)
  touch "$WORK/out.txt"
  local errors states got
  errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$WORK/out.txt")
  states=$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' "$WORK/out.txt")
  # A model that does not build is neither accepted nor rejected.
  case "$errors" in
  0) got=accepted ;;
  [1-9]*) got=rejected ;;
  *) got=unbuilt ;;
  esac
  if grep -q -E 'max search depth|out of memory' "$WORK/out.txt"; then
    got=incomplete
  fi
  if [ "$got" = "$wanted" ]; then
    passed=$((passed + 1))
    echo "ok   $model $variant: $got, $states states"
  else
    failed=$((failed + 1))
    echo "FAIL $model $variant: $got, wanted $wanted"
    cat "$WORK"/*.txt
  fi
}

check grant accepted
check grant rejected -DNO_SEAL
check grant rejected -DNO_FIRST
check grant rejected -DNO_WITNESS
check ceiling accepted
check ceiling rejected -DIGNORE_WATERMARK
check ceiling rejected -DTRUST_OLD_WATERMARK
check ceiling rejected -DGRANT_BEFORE_READ
check ceiling rejected -DIGNORE_LATE_RETURN
check ceiling rejected -DNO_FENCE
check single_run accepted
check single_run rejected -DNO_READ
check single_run rejected -DLIE
echo "models: $passed passed, $failed failed"
[ "$failed" = 0 ]
