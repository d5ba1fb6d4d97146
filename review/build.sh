#!/bin/sh
# The stand-ins of the cases are Python of the standard library alone, so nothing has to be built. This says whether
# they can be read, and whether the program that they test was built by the command of the deploy file.
cd "$(dirname "$0")/.." || exit 1
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
for file in review/lib/*.py review/*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 1
done
[ -x target/release/sillflow ] || { echo "target/release/sillflow is not built" >&2; exit 1; }
