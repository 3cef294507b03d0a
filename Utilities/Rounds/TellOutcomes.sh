#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Tells from a run's log lines what became of requests: by outcome, reason and
# the stages that had been made, and by time.
#
# usage: TellOutcomes.sh LOG
#   LOG: "SECONDS BOX {line of a gateway}", as a run with all logs prints it
set -euo pipefail
if [ $# != 1 ]; then
  echo "usage: Utilities/Rounds/TellOutcomes.sh LOG" >&2
  exit 2
fi
awk '
  function text(name,    pattern) {
    pattern = "\"" name "\":\"[^\"]*\""
    if (!match($0, pattern)) return ""
    return substr($0, RSTART + length(name) + 4, RLENGTH - length(name) - 5)
  }
  function number(name,    pattern) {
    pattern = "\"" name "\":-?[0-9]+"
    if (!match($0, pattern)) return 0
    return substr($0, RSTART + length(name) + 3, RLENGTH - length(name) - 3)
  }
  function stagesMade(    rest, made) {
    if (!match($0, /"stages":\[[^}]*\]/)) return 0
    rest = substr($0, RSTART + 10, RLENGTH - 11)
    made = gsub(/\[[0-9]+,[0-9]+\]/, "", rest)
    return made
  }
  /"event":"request"/ {
    key = text("outcome") " | " text("reason") " | " stagesMade()
    held = number("held_ms") + 0
    if (!(key in count)) keys[++known] = key
    ++count[key]
    sum[key] += held
    if (held > longest[key]) longest[key] = held
    window = int($1 / 4) * 4
    if (!(window in seen)) {
      seen[window]
      windows[++spans] = window
    }
    ++of[window, text("outcome")]
  }
  END {
    print "| outcome | reason | stages made | requests | mean held ms | longest |"
    print "| --- | --- | --- | --- | --- | --- |"
    for (i = 1; i <= known; ++i) {
      key = keys[i]
      printf "| %s | %d | %.0f | %d |\n", key, count[key],
        sum[key] / count[key], longest[key]
    }
    print ""
    print "| from second | served | refused | failed | broken off | caller left |"
    print "| --- | --- | --- | --- | --- | --- |"
    for (i = 1; i <= spans; ++i) {
      w = windows[i]
      printf "| %d | %d | %d | %d | %d | %d |\n", w, of[w, "served"],
        of[w, "refused"], of[w, "failed"] + of[w, "endpoint_failed"],
        of[w, "broken_off"], of[w, "caller_left"]
    }
  }
' "$1"
