#!/usr/bin/env bash
# Writes the pages that list result codes and events, from the tables in
# Source/Base. CtlTest fails if the committed pages are not current.
set -euo pipefail
cd "$(dirname "$0")/.."

Ctl=${1:-build}/bin/corneldeckctl
"$Ctl" codes --format markdown > docs/RESULT_CODES.md
"$Ctl" events --format markdown > docs/EVENTS.md
