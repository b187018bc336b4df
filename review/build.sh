#!/bin/sh
# Builds what the scripts of this folder start beside the programs of deploy/system.toml. The stand-ins are in Python
# (3.11 or later, its own library only), so that nothing is compiled: this checks that they can be read.
cd "$(dirname "$0")" || exit 1
export PYTHONDONTWRITEBYTECODE=1
for file in *.py */*.py; do
    python3 -c 'import ast, asyncio, sys, tomllib; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file" || exit 1
done
