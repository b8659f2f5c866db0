#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/review-3. Needs only the
# compiler that the deploy file lists.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for Source in review/standins-3/*.cpp; do
  Name=$(basename "$Source" .cpp)
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -I review/standins-3 \
    -o "target/review-3/$Name" "$Source"
done
