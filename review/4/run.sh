#!/usr/bin/env bash
# Plays the case. FIELD says what is over a limit of the project: priority (the
# default) or attempts.
set -uo pipefail
cd "$(dirname "$0")/../.."
[ -x target/review/HighRank ] || exit 2
[ -x target/bin/corneldeck-platform-entry ] || exit 2
timeout 110 target/review/HighRank review/4/record.txt \
  "${FIELD:-priority}"
Code=$?
[ "$Code" -le 1 ] && exit "$Code"
exit 2
