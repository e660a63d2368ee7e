#!/usr/bin/env bash
# Runs the formatter check, the linter, the include check and the check for platform names.
set -uo pipefail
cd "$(dirname "$0")/.."
sources=$(git ls-files '*.h' '*.cpp' | grep -v '\.pb\.')
bad=0
clang-format-14 --dry-run --Werror $sources || bad=1
utils/check-includes.py || bad=1
platform/check-words.sh || bad=1
# The linter takes about a minute. It checks headers through the sources that include them.
git ls-files 'lib/*.cpp' 'tools/*.cpp' 'platform/*.cpp' | xargs -P 8 -n 4 clang-tidy-14 -p build --quiet 2>/dev/null || bad=1
exit $bad
