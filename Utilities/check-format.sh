#!/usr/bin/env bash
# Fails if a source file is not formatted as .clang-format says.
# With --fix, formats the files instead.
set -euo pipefail
cd "$(dirname "$0")/.."

Mode=(--dry-run --Werror)
if [ "${1:-}" = "--fix" ]; then
  Mode=(-i)
fi
git ls-files -co --exclude-standard -- 'Source/*.h' 'Source/*.cpp' \
  'Tests/*.h' 'Tests/*.cpp' 'platform/*.h' 'platform/*.cpp' ':!*.pb.h' |
  xargs -r clang-format "${Mode[@]}"
