#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/8 start beside the program of
# deploy/system.toml. Their stand-ins are Python programs of review/lib-2, so
# there is nothing to compile: this only checks that each of them can be read.
set -eu
cd "$(dirname "$0")"
for file in lib-2/*.py 6/case.py 7/case.py 8/case.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
test -x ../target/tamarackd || {
  echo "target/tamarackd is missing: run the build of deploy/system.toml" >&2
  exit 1
}
