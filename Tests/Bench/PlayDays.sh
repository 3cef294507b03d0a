#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Plays the days of deploy/days as they are written, with
# the users' bench, and prints a table. Not part of CI: the bench is the
# users'. Ends with 1 if a day broke a rule or could not be played.
#
# usage: PlayDays.sh BENCH REASON SITE...
set -euo pipefail
cd "$(dirname "$0")/../.."
if [ $# -lt 3 ]; then
  echo "usage: Tests/Bench/PlayDays.sh BENCH REASON SITE..." >&2
  exit 2
fi
bench=$1
reason=$2
shift 2
report=$(mktemp)
trap 'rm -f "$report"' EXIT
bad=0
echo "| site | day | worth | what broke |"
echo "| --- | --- | --- | --- |"
for site in "$@"; do
  for day in deploy/days/*.toml; do
    name=$(basename "$day" .toml)
    "$bench" run "$site" "$day" --why "$reason" >"$report" 2>&1 || true
    snapshot=$(awk '$1 == "snapshot" { print $2 }' "$report")
    entry=$(find journal -maxdepth 1 -name "*-${snapshot:-none}.json")
    # The bench's entry of the run: "rules" lists what broke, "G" is the worth.
    if [ -n "$entry" ] && grep -q '"rules":{' "$entry"; then
      broke=$(grep -o '"rules":{[^}]*}' "$entry" | head -1 |
        sed 's/^"rules":{//; s/}$//; s/"//g')
      worth=$(grep -o '"G":[^,]*' "$entry" | head -1 | cut -d: -f2)
    else
      broke=$(tail -1 "$report")
      worth="not played"
    fi
    if [ -n "$broke" ]; then
      bad=1
    fi
    echo "| $(basename "$site" .toml) | $name | $worth | ${broke:-nothing} |"
  done
done
exit "$bad"
