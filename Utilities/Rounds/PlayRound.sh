#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Plays the same days with two versions of the code, each in a checkout of its
# own, and prints what differs between them: worth, its parts, its prices.
# Not part of CI: the bench is the users'. The journal entries of both are
# copied into this checkout. Ends with 1 if a day broke a rule.
#
# usage: PlayRound.sh BENCH REASON JOBS PARENT CHANGE SEEDS SITE...
#   SEEDS: a file with a line a day, "DAY SEED"; a seed of - is the day's own
set -euo pipefail
cd "$(dirname "$0")/../.."
if [ $# -lt 7 ]; then
  echo "usage: Utilities/Rounds/PlayRound.sh BENCH REASON JOBS PARENT" \
    "CHANGE SEEDS SITE..." >&2
  exit 2
fi
bench=$1
reason=$2
jobs=$3
parent=$4
change=$5
seeds=$6
shift 6
# Processor time is measured and differs from run to run: decisions are
# compared without it. Set to nothing for the cost.
options=${WG_ROUND_OPTIONS---no-cpu}
out=${WG_ROUND_OUT:-$(mktemp -d)}
mkdir -p "$out/parent" "$out/change"

play() {
  local side=$1 folder=$2 site=$3 day=$4 seed=$5
  local name
  name=$(basename "$site" .toml)-$(basename "$day" .toml)-$seed
  local with=()
  [ "$seed" = - ] || with=(--seed "$seed")
  # Without word splitting a lone option could not be left out.
  # shellcheck disable=SC2086
  (cd "$folder" &&
    "$bench" run "$site" "$day" "${with[@]}" $options \
      --why "$reason ($side)") >"$out/$side/$name.txt" 2>&1 || true
}
export -f play
export bench reason options out

for folder in "$parent" "$change"; do
  (cd "$folder" && "$bench" build >/dev/null)
done
for site in "$@"; do
  while read -r day seed; do
    printf 'parent\0%s\0%s\0%s\0%s\0' "$parent" "$site" "$day" "$seed"
    printf 'change\0%s\0%s\0%s\0%s\0' "$change" "$site" "$day" "$seed"
  done <"$seeds"
done | xargs -0 -n 5 -P "$jobs" bash -c 'play "$@"' play

for folder in "$parent" "$change"; do
  [ "$folder" -ef . ] || cp -n "$folder"/journal/*.json journal/
done
Utilities/Rounds/CompareRound.sh "$out"
