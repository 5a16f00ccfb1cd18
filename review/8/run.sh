#!/usr/bin/env bash
# Plays this case; takes 20 seconds.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# Writes what was sent, answered and run to record.txt beside this file. TROUBLE=0 plays it
# without the disruption.
set -uo pipefail
cd "$(dirname "$0")/../.."
programs=review/build/standin-2
[ -x target/quetzal-gateway ] && [ -x "$programs/truncated" ] || exit 2
"$programs/truncated" review/8/record.txt "$programs/early"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
