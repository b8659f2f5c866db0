#!/usr/bin/env bash
# Plays the case.
set -uo pipefail
cd "$(dirname "$0")/../.."
[ -x target/review/LastTenant ] || exit 2
[ -x target/bin/corneldeck-platform-entry ] || exit 2
timeout 110 target/review/LastTenant review/2/record.txt
Code=$?
[ "$Code" -le 1 ] && exit "$Code"
exit 2
