#!/usr/bin/env bash
# Checks every state of the models with spin: each model must be accepted, each
# of its broken variants must be rejected.
set -u
cd "$(dirname "$0")"
WORK=$(mktemp -d)
trap 'rm -rf "$WORK"' EXIT
passed=0
failed=0

check() { # MODEL EXPECTED [-DVARIANT]
  local model=$1 expected=$2 variant=${3:-}
  rm -f "$WORK"/*
  cp "$model.pml" "$WORK"
  (cd "$WORK" && spin -a $variant "$model.pml" >spin.txt &&
    cc -O2 -DSAFETY -DNOREDUCE -DMEMLIM=2048 -o pan pan.c 2>/dev/null &&
    ./pan -m100000 >out.txt 2>&1)
  touch "$WORK/out.txt"
  local errors states result
  errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$WORK/out.txt")
  states=$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' "$WORK/out.txt")
  # A model that does not compile is neither accepted nor rejected.
  case "$errors" in
  0) result=accepted ;;
  [1-9]*) result=rejected ;;
  *) result=uncompiled ;;
  esac
  if grep -q -E 'max search depth|out of memory' "$WORK/out.txt"; then
    result=incomplete
  fi
  if [ "$result" = "$expected" ]; then
    passed=$((passed + 1))
    echo "ok   $model $variant: $result, $states states"
  else
    failed=$((failed + 1))
    echo "FAIL $model $variant: $result, expected $expected"
    cat "$WORK"/*.txt
  fi
}

check grant accepted
check grant rejected -DWITNESS_DOES_NOT_SEAL
check grant rejected -DSECOND_CLOSE_APPLIED
check grant rejected -DHOLDER_SKIPS_WITNESS
check ceiling accepted
check ceiling rejected -DIGNORE_WATERMARK
check ceiling rejected -DTRUST_OLD_WATERMARK
check ceiling rejected -DGRANT_BEFORE_READ
check ceiling rejected -DIGNORE_LATE_RETURN
check ceiling rejected -DNO_FENCE
check drill accepted
check drill rejected -DFORGET
check drill rejected -DGRANT_OLD
check drill rejected -DNO_RESTORE
check drill rejected -DNO_WAIT
check drill rejected -DNOT_CHARGED
check drill rejected -DREPLACE
check drill rejected -DUNREAD_RAISE
check drill rejected -DTWO_DEAD
check pool accepted
check pool rejected -DRUNS_LATE_ANSWER
check pool rejected -DFREES_AT_RESTART
check pool rejected -DSETTLES_TWICE
check pool rejected -DHOLDER_FORGETS
check pool rejected -DCOUNTS_AFTER_ANSWER
check single_execution accepted
check single_execution rejected -DCLAIM_NOT_READ_BACK
check single_execution rejected -DNOT_RUN_AFTER_LOST_RESPONSE
echo "models: $passed passed, $failed failed"
[ "$failed" = 0 ]
