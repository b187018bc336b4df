#!/bin/sh
# Builds the stand-ins of the cases 4 to 8. They are Python programs (tier2/tier.py and each case.py) that use the
# standard library only: this checks that the interpreter is there and takes them.
set -eu
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import ast
import glob
import sys

if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or later is needed")
for path in ["tier2/tier.py"] + sorted(glob.glob("[4-8]/case.py")):
    ast.parse(open(path, encoding="utf-8").read(), path)
    print("ok", path)
PYTHON
