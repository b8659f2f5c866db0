#!/usr/bin/env bash
# Runs CTest under a preset. Tests that KNOWN-RED.txt names may fail; they are
# printed. Any other failure fails the run, and so does a named test that
# passes, since its entry is then out of date.
set -euo pipefail
cd "$(dirname "$0")/.."

Preset=$1
Known=$(sed -n 's/^test: *//p' KNOWN-RED.txt)
Exclude=$(printf '%s\n' "$Known" | sed '/^$/d' | paste -sd'|' -)

Arguments=(--preset "$Preset" -j "$(nproc)" --no-tests=error)
if [ -z "$Exclude" ]; then
  ctest "${Arguments[@]}"
  exit
fi
ctest "${Arguments[@]}" -E "^($Exclude)\$"
echo "Known failures, from KNOWN-RED.txt:"
Unexpected=0
for Test in $Known; do
  if ctest --preset "$Preset" -R "^$Test\$" --no-tests=ignore -N |
    grep -q 'Total Tests: 0'; then
    continue
  fi
  if ctest --preset "$Preset" -R "^$Test\$" > /dev/null 2>&1; then
    echo "  $Test passes now: remove its entry from KNOWN-RED.txt"
    Unexpected=1
  else
    echo "  $Test fails as known"
  fi
done
exit "$Unexpected"
