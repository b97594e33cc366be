#!/usr/bin/env bash
# Nothing is compiled: the stand-ins of the scripts are the Python module
# review/lib/fleet.py, of the standard library alone. Checks that it loads, and
# that the build of deploy/system.toml has made the program.
set -eu
cd "$(dirname "$0")"
for file in lib/fleet.py [1-5]/*.py; do
  [ -f "$file" ] && python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
test -x ../target/tamarackd
