#!/usr/bin/env bash
# Generates the committed codec files from Source/Wire/*.proto.
set -euo pipefail
cd "$(dirname "$0")/../Source/Wire"
protoc --cpp_out=. ./*.proto
