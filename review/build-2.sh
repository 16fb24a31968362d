#!/bin/sh
# Builds the stand-ins of the scripts 6 to 10: they are Python, as are the project's own that they use
# (test/fleet.py, test/platform_fake.py), so their syntax is checked.
set -eu
cd "$(dirname "$0")"
python3 - lib-2/*.py [6-9]/case.py ../test/fleet.py ../test/platform_fake.py <<'END'
import ast, sys
for path in sys.argv[1:]:
    with open(path) as file:
        ast.parse(file.read(), path)
END
