#!/usr/bin/env bash
# Runs a short demonstration of one example site. Usage: utils/demo.sh bureau|kartvik
set -euo pipefail
cd "$(dirname "$0")/.."
site=${1:-bureau}
trap 'utils/fleet.sh down' EXIT
utils/fleet.sh up "$site"
utils/operator.sh in-force "examples/$site.yaml" > /dev/null
python3 utils/demo.py "$site"
