#!/bin/sh
# Builds the stand-ins of the scripts 11 to 15: they are Python, so their syntax is checked.
set -eu
cd "$(dirname "$0")"
python3 - lib-3/*.py 1[1-5]/case.py <<'END'
import ast, sys
for path in sys.argv[1:]:
    with open(path) as file:
        ast.parse(file.read(), path)
END
