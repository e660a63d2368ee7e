#!/bin/sh
# Builds what the scripts of review/4 to review/8 start besides the entry: their stand-ins, in Python.
# Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")"
python3 - <<'PY'
import glob, sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in glob.glob("standins-2/*.py") + glob.glob("[4-8]/*.py"):
    compile(open(path, encoding="utf-8").read(), path, "exec")
PY
