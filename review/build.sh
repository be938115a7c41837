#!/bin/sh
# Prepares the stand-ins of the cases. They are Python programs of this folder, run with the environment that the
# deploy file's `build` has made; they need nothing else.
set -eu
cd "$(dirname "$0")"
test -x ../.venv/bin/python
for file in common.py */case.py; do
    ../.venv/bin/python -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
