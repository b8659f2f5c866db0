#!/usr/bin/env bash
# Runs clang-tidy over every source file. Takes the build folder that holds
# compile_commands.json. A file whose content and headers were found clean
# before is passed over, by a hash of its preprocessed text.
set -euo pipefail
cd "$(dirname "$0")/.."

Build=${1:-build}
export Build
Cache=${CORNELDECK_LINT_CACHE:-$HOME/.cache/corneldeck-lint}
export Cache
mkdir -p "$Cache"

lint_one() {
  local File=$1 Command Key
  Command=$(jq -r --arg f "$PWD/$File" \
    '.[] | select(.file == $f) | .command' "$Build/compile_commands.json" |
    head -1 | sed -e 's/^[^ ]*ccache //' -e 's/ -o [^ ]* -c / -E -P /')
  [ -n "$Command" ] || return 0
  Key=$( (cat .clang-tidy; sh -c "$Command" 2>/dev/null; cat "$File") |
    sha256sum | cut -d' ' -f1)
  [ ! -e "$Cache/$Key" ] || return 0
  clang-tidy --quiet -p "$Build" "$File" 2>/dev/null || return 1
  touch "$Cache/$Key"
}
export -f lint_one

git ls-files -co --exclude-standard -- 'Source/*.cpp' 'Tests/*.cpp' 'platform/*.cpp' |
  xargs -r -P "$(nproc)" -I{} bash -c 'lint_one "$1" || { echo "lint: $1"; exit 1; }' _ {}
