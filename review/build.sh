#!/bin/bash
# Builds what the scripts of review/ start besides the program of the deploy file: nothing. Their
# stand-ins are Python (standard library, 3.11 or later); this only checks that they compile.
cd "$(dirname "$0")" || exit 2
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "needs Python 3.11"; exit 2; }
for file in tools/rig.py [123]/case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 1
done
