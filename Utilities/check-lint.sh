#!/usr/bin/env bash
# Runs clang-tidy over every source file. Takes the build folder that holds
# compile_commands.json. Files of a folder that compile as one translation unit
# are checked as one, since most of the time goes into the system's headers; if
# that finds anything, each of them is checked by itself. A file whose content
# and headers were found clean before is passed over, by a hash of its
# preprocessed text.
set -euo pipefail
cd "$(dirname "$0")/.."

Build=${1:-build}
export Build
Cache=${CORNELDECK_LINT_CACHE:-$HOME/.cache/corneldeck-lint}
export Cache
Empty=$(mktemp -p "$PWD/$Build" --suffix=.cpp)
export Empty
trap 'rm -f "$Empty"' EXIT
FilesPerUnit=14
export FilesPerUnit
mkdir -p "$Cache"

# Replaces bugprone-suspicious-include, which the combined units set off.
if git grep -nE '^ *# *include *["<].*\.(c|cc|cpp|cxx)[">]' -- \
  'Source/*' 'Tests/*' 'platform/*'; then
  echo "lint: a source file is included"
  exit 1
fi

# Prints the compiler's arguments for a file, without its output and name.
arguments_of() {
  jq -r --arg f "$PWD/$1" '.[] | select(.file == $f) | .command' \
    "$Build/compile_commands.json" | head -1 |
    sed -e 's/^[^ ]*ccache //' -e 's/^[^ ]* //' -e 's/ -o [^ ]* -c .*//'
}
export -f arguments_of

key_of() {
  (cat .clang-tidy "$1"; sh -c "g++ $2 -E -P '$PWD/$1'" 2> /dev/null) |
    sha256sum | cut -d' ' -f1
}
export -f key_of

# Prints the files given, some on a line, so that the files of each line compile
# as one unit: they may use a name for different things.
split_into_units() {
  local Arguments=$1 File
  shift
  local -a Includes=()
  for File in "$@"; do Includes+=(-include "$PWD/$File"); done
  if [ $# -eq 1 ] || { [ $# -le "$FilesPerUnit" ] &&
    clang++ $Arguments -fsyntax-only "${Includes[@]}" "$Empty" \
      > /dev/null 2>&1; }; then
    echo "$*"
    return
  fi
  local Half=$(($# / 2))
  split_into_units "$Arguments" "${@:1:Half}"
  split_into_units "$Arguments" "${@:Half+1}"
}
export -f split_into_units

# Prints the units of a folder's files that have changed.
units_of() {
  local Folder=$1 File Arguments Shared
  local -A Files=()
  for File in $(git ls-files -co --exclude-standard -- "$Folder/*.cpp"); do
    [ "$(dirname "$File")" = "$Folder" ] || continue
    Arguments=$(arguments_of "$File")
    [ -n "$Arguments" ] || continue
    [ -e "$Cache/$(key_of "$File" "$Arguments")" ] ||
      Files[$Arguments]+=" $File"
  done
  for Shared in "${!Files[@]}"; do
    split_into_units "$Shared" ${Files[$Shared]}
  done
}
export -f units_of

lint_unit() {
  local File Arguments Status=0
  local -a Includes=()
  Arguments=$(arguments_of "$1")
  for File in "$@"; do Includes+=(-include "$PWD/$File"); done
  if [ $# -eq 1 ] || ! clang-tidy --quiet --checks=-bugprone-suspicious-include \
    --header-filter='(Source|Tests|platform)/.*([^b]\.h|\.cpp)$' \
    "$Empty" -- $Arguments "${Includes[@]}" > /dev/null 2>&1; then
    for File in "$@"; do
      clang-tidy --quiet -p "$Build" "$File" 2> /dev/null ||
        { echo "lint: $File"; Status=1; }
    done
  fi
  # This check looks only at the file that is named, not at those included.
  for File in $(grep -lE '^ *namespace +[A-Za-z_]+ *=' "$@"); do
    clang-tidy --quiet --checks='-*,misc-unused-alias-decls' -p "$Build" \
      "$File" 2> /dev/null || { echo "lint: $File"; Status=1; }
  done
  [ $Status -eq 0 ] || return 1
  for File in "$@"; do
    touch "$Cache/$(key_of "$File" "$Arguments")"
  done
}
export -f lint_unit

git ls-files -co --exclude-standard -- 'Source/*.cpp' 'Tests/*.cpp' \
  'platform/*.cpp' | xargs -n1 dirname | sort -u |
  xargs -P "$(nproc)" -I{} bash -c 'units_of "$1"' _ {} |
  xargs -P "$(nproc)" -I{} bash -c 'lint_unit $1' _ {}
