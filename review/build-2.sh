#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on into target/review-2. Needs the
# build of the deploy file, whose libraries they use, and no package beside
# those it names.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review-2
mapfile -t Libraries < <(find target/Source target/platform -name 'lib*.a' | sort)
Flags=(-std=c++20 -O1 -I. -ISource -ITests -Itarget)
g++ "${Flags[@]}" -c -o target/review-2/World.o review/standins-2/World.cpp &
for Source in StandinStore StandinServer; do
  g++ "${Flags[@]}" -c -o "target/review-2/$Source.o" "Tests/Platform/$Source.cpp" &
done
for Job in $(jobs -p); do wait "$Job"; done

Cases=("$@")
if [ $# -eq 0 ]; then
  for Source in review/standins-2/*.cpp; do
    [ "$Source" = review/standins-2/World.cpp ] ||
      Cases+=("$(basename "$Source" .cpp)")
  done
fi
for Case in "${Cases[@]}"; do
  g++ "${Flags[@]}" -o "target/review-2/$Case" "review/standins-2/$Case.cpp" \
    target/review-2/World.o target/review-2/StandinStore.o \
    target/review-2/StandinServer.o \
    -Wl,--start-group "${Libraries[@]}" -Wl,--end-group \
    -lxxhash -lprotobuf -lzstd -lpthread
done
