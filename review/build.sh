#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review. Needs the build of the
# deploy file, whose libraries they use, and no package beside those it names.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review
mapfile -t Libraries < <(find target/Source target/platform -name 'lib*.a' |
  sort)

Common=()
Jobs=()
for Source in review/standins/CaseWorld.cpp review/standins/RawServer.cpp \
  Tests/Platform/StandinServer.cpp Tests/Platform/StandinStore.cpp; do
  Object="target/review/$(basename "$Source" .cpp).o"
  Common+=("$Object")
  g++ -std=c++20 -O1 -I. -ISource -ITests -Itarget -c -o "$Object" "$Source" &
  Jobs+=($!)
done
for Job in "${Jobs[@]}"; do
  wait "$Job"
done

Cases=("$@")
[ $# -gt 0 ] || Cases=(Pipelined LastTenant UnframedEnd HighRank LongPrompts)
for Case in "${Cases[@]}"; do
  g++ -std=c++20 -O1 -I. -ISource -ITests -Itarget -o "target/review/$Case" \
    "review/standins/$Case.cpp" "${Common[@]}" \
    -Wl,--start-group "${Libraries[@]}" -Wl,--end-group \
    -lxxhash -lprotobuf -lzstd -lpthread
done
