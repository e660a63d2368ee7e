#!/bin/sh
# Checks that every stand-in of the cases can be loaded. They are Python programs of the standard library alone, the
# project's own store (platform/soak/store.py) among them, so nothing has to be compiled.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1
for file in standins/*.py ../platform/soak/store.py ../platform/soak/wire.py [0-9]*/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file" || exit 1
done
