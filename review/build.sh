#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are Python programs that use only the
# standard library, so this only checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
for source in support/bench.py */case.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$source"
done
