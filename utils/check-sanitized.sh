#!/usr/bin/env bash
# Runs the tests of a sanitized build. Usage: utils/check-sanitized.sh build-asan|build-tsan
# The fault matrix runs a tenth of its pairs of faults, because sanitized builds are slow.
set -uo pipefail
cd "$(dirname "$0")/.."
folder=$1
bad=0
export ASAN_OPTIONS=detect_leaks=0
export UBSAN_OPTIONS=halt_on_error=1
export TSAN_OPTIONS="halt_on_error=1 suppressions=$PWD/utils/tsan.supp"
export LAURELCROFT_PAIRS=200
programs=("$folder"/unittests/*/*-tests "$folder"/test/Processes/process-tests)
# The golden tests and the fault matrix run each simulated site on a single thread, so the thread
# sanitizer has no races to find there, and a simulated day takes too long under it.
[ "$folder" = build-tsan ] ||
    programs+=("$folder"/test/Golden/golden-tests "$folder"/test/FaultMatrix/fault-matrix)
for program in "${programs[@]}"; do
    if "$program" > "$folder/$(basename "$program").log" 2>&1; then
        echo "$(basename "$program"): clean"
    else
        echo "$(basename "$program"): FAILED"; tail -n 40 "$folder/$(basename "$program").log"
        bad=1
    fi
done
exit $bad
