#!/bin/sh
# What the cases of the second review need beside the deploy file's build: nothing is compiled or fetched. The
# stand-ins are Python files of the standard library; this checks that the built interpreter can load them.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "run deploy/build first" >&2; exit 1; }
.venv/bin/python -B -c 'import ast, pathlib
for path in [pathlib.Path("review/standins_2.py"), *pathlib.Path("review").glob("[0-9]*/scenario.py")]:
    ast.parse(path.read_text(), str(path))'
cd review && ../.venv/bin/python -B -c 'import standins_2'
