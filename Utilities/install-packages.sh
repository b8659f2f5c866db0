#!/usr/bin/env bash
# Installs Debian's packages that corneldeck is built and checked with.
set -euo pipefail

Packages=(
  g++ cmake ninja-build ccache pkg-config clang-format clang-tidy jq curl
  libboost1.81-dev libboost-program-options1.81-dev
  libgoogle-glog-dev libexpected-dev libyaml-cpp-dev
  librapidcheck-dev nlohmann-json3-dev libxxhash-dev libzstd-dev
  libprotobuf-dev protobuf-compiler libgtest-dev libgmock-dev
)

Missing=()
for Package in "${Packages[@]}"; do
  dpkg-query -W -f='${Status}' "$Package" 2>/dev/null |
    grep -q 'ok installed' || Missing+=("$Package")
done
if [ ${#Missing[@]} -eq 0 ]; then
  exit 0
fi
apt-get update
DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends \
  "${Missing[@]}"
