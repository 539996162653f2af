#!/usr/bin/env bash
# Builds the stand-ins of the second review. They are Python scripts of the standard
# library, so this only checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
for file in support-2/*.py [6-9]/*.py 10/*.py; do
  [ ! -e "$file" ] || python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
echo "stand-ins: ready"
