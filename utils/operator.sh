#!/usr/bin/env bash
# Runs the operator command against the fleet that utils/fleet.sh started.
#   utils/operator.sh COMMAND...        run COMMAND as the first operator
#   utils/operator.sh in-force FILE     propose FILE, sign it as both operators, accept it and wait
#                                       at most 30 s until it is in force at all instances
set -euo pipefail
cd "$(dirname "$0")/.."
fleet=build/fleet/fleet.json
field() { python3 -c 'import json,sys; v=json.load(open(sys.argv[1]))
for k in sys.argv[2:]: v=v[int(k)] if isinstance(v,list) else v[k]
print(v)' "$fleet" "$@"; }

LAURELCROFT_TABLE_URL=$(field standins table)
LAURELCROFT_OBJECTS_URL=$(field standins objects)
LAURELCROFT_ADMIN_URL=$(field admin 0)
LAURELCROFT_SIGNOFF_KEYS=$(field signoff_keys)
LAURELCROFT_SIGNOFF_REQUIRED=${LAURELCROFT_SIGNOFF_REQUIRED:-2}
LAURELCROFT_KEY_FILE=${LAURELCROFT_KEY_FILE:-$(field key_files 0)}
export LAURELCROFT_TABLE_URL LAURELCROFT_OBJECTS_URL LAURELCROFT_ADMIN_URL LAURELCROFT_SIGNOFF_KEYS
export LAURELCROFT_SIGNOFF_REQUIRED LAURELCROFT_KEY_FILE

if [ "${1:-}" = in-force ]; then
    hash=$(build/bin/laurelcroft propose "$2" | sed -n 's/^proposed //p')
    build/bin/laurelcroft sign "$hash"
    build/bin/laurelcroft sign "$hash" --key-file "$(field key_files 1)"
    build/bin/laurelcroft accept "$hash"
    expected=$(python3 -c 'import json,sys; f=json.load(open(sys.argv[1]))
print(len(f["entries"]) + len(f["endpoints"]))' "$fleet")
    for _ in $(seq 150); do
        build/bin/laurelcroft status | grep -q "in force at $expected of $expected" && exit 0
        sleep 0.2
    done
    echo "in-force: bundle is not in force at all $expected instances after 30 s" >&2
    exit 1
fi
exec build/bin/laurelcroft "$@"
