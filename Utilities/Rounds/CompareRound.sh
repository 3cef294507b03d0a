#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Compares the reports of a round, day by day: the mean of each figure with
# the parent and the change, the mean difference and its standard error.
# Ends with 1 if a day of the change broke a rule, or could not be played.
#
# usage: CompareRound.sh FOLDER
#   FOLDER/parent and FOLDER/change: reports of the same names
set -euo pipefail
if [ $# != 1 ]; then
  echo "usage: Utilities/Rounds/CompareRound.sh FOLDER" >&2
  exit 2
fi
awk '
  FNR == 1 {
    count = split(FILENAME, path, "/")
    side = path[count - 1]
    day = path[count]
    site = day
    sub(/-(quiet|scale|trouble|mix|fresh).*/, "", site)
    sites[site]
    days[day] = site
  }
  # worth 0.567 = whole day 0.847 (weight 0.32), ... less prices
  /^worth [-0-9.]+ = / {
    worth = $2
    take("worth", worth)
    rest = $0
    sub(/^worth [-0-9.]+ = /, "", rest)
    parts = split(rest, part, /, */)
    for (i = 1; i <= parts; ++i) {
      if (match(part[i], /[-0-9.]+ \(weight/)) {
        name = substr(part[i], 1, RSTART - 2)
        value = substr(part[i], RSTART)
        sub(/ .*/, "", value)
        take(name, value)
      }
    }
    priced = 1
    next
  }
  # "  -0.0172  759.241 machine-seconds"
  priced && /^  -+[0-9.]+ / {
    price = $1
    sub(/^--/, "-", price)
    name = $3
    for (i = 4; i <= NF; ++i) {
      name = name " " $i
    }
    take("price: " name, price)
    next
  }
  /^$/ { priced = 0 }
  side == "change" && /BROKEN: / {
    broken[day] = $0
    sub(/.*BROKEN: /, "", broken[day])
  }
  function take(figure, value) {
    values[side, day, figure] = value
    if (!(figure in known)) {
      known[figure]
      order[++figures] = figure
    }
  }
  function compare(site, figure,    day, n, p, c, d, sum, squares, a, b) {
    n = p = c = sum = squares = 0
    for (day in days) {
      if (days[day] != site) continue
      if (!(("parent", day, "worth") in values)) continue
      if (!(("change", day, "worth") in values)) continue
      a = values["parent", day, figure] + 0
      b = values["change", day, figure] + 0
      d = b - a
      ++n
      p += a
      c += b
      sum += d
      squares += d * d
    }
    if (n == 0) return
    mean = sum / n
    spread = n > 1 ? sqrt((squares / n - mean * mean) / (n - 1)) : 0
    if (figure != "worth" && (mean < 0.0008 && mean > -0.0008)) return
    printf "| %s | %s | %d | %.4f | %.4f | %+.4f | %.4f |\n", site, figure,
      n, p / n, c / n, mean, spread
  }
  END {
    print "| site | figure | days | parent | change | difference | its error |"
    print "| --- | --- | --- | --- | --- | --- | --- |"
    for (site in sites) {
      for (i = 1; i <= figures; ++i) {
        compare(site, order[i])
      }
    }
    bad = 0
    for (day in days) {
      if (!(("change", day, "worth") in values)) {
        print day ": not played to its end by the change"
        bad = 1
      }
      if (day in broken) {
        print day ": " broken[day]
        bad = 1
      }
    }
    exit bad
  }
' "$1"/parent/*.txt "$1"/change/*.txt
