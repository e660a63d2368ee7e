#!/usr/bin/env python3
"""Checks that components include headers only of themselves and of lower components."""
import pathlib
import re
import sys

# Components, lowest first. A component may include itself and those listed before it.
ORDER = ["Support", "Contract", "Http", "Link", "Fleet", "Policy", "Platform", "Usage", "Ledger", "Proxy", "Node",
         "Agent", "Entry", "Operator", "Standin", "Load"]
RANK = {name: rank for rank, name in enumerate(ORDER)}


def main():
    bad = 0
    for root in ("include/laurelcroft", "lib"):
        for path in sorted(pathlib.Path(root).rglob("*.[hc]*")):
            if path.suffix not in (".h", ".cpp"):
                continue
            own = path.relative_to(root).parts[0]
            for number, line in enumerate(path.read_text().splitlines(), 1):
                found = re.match(r'#include "laurelcroft/(\w+)/', line)
                if found and RANK[found.group(1)] > RANK[own]:
                    print(f"{path}:{number}: {own} must not include {found.group(1)}")
                    bad = 1
    return bad


if __name__ == "__main__":
    sys.exit(main())
