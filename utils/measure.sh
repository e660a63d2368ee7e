#!/usr/bin/env bash
# Measures every figure of docs/MEASUREMENTS.md and docs/CAPACITY.md. Takes about six minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 utils/measure-path.py
build/bin/laurelcroft-load run examples/experiments/decisions.yaml --html build/decisions.html
build/bin/laurelcroft-load run examples/experiments/spread.yaml --html build/spread.html
echo "pages with plots: build/decisions.html build/spread.html"
