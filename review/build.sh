#!/usr/bin/env bash
# The stand-ins are Python files that need no build and nothing but the standard library: this only checks that the
# interpreter of the project's build can read them.
set -euo pipefail
cd "$(dirname "$0")"
test -x ../.venv/bin/python || { echo "no .venv: build the project first" >&2; exit 2; }
for each in standin.py [0-9]*/case.py; do
    ../.venv/bin/python -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$each"
done
