#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Prints where the time of a run of CI went: the stages, the dearest
# translation units and headers, and the longest tests. Reads what Ninja,
# CTest and .ci/run have left in the build folders; builds and runs nothing.
# Times are wall times: what ran beside is in them.
#
# usage: AccountTime.sh [FOLDER]
#   FOLDER holds the build folders; build by default.
set -euo pipefail
if [ $# = 0 ]; then
  cd "$(dirname "$0")/../.."
  set -- build
fi
folder=$1
units=20
tests=30

# A Ninja log as lines "ms output", an output built twice only once, the
# last time.
read_ninja_log() {
  awk -F'\t' '/^[0-9]/ { cost[$4] = $2 - $1 }
    END { for (output in cost) print cost[output], output }' "$1"
}

# CTest's own account as lines "s test"; a test that ran more than once in
# this folder stands there with its mean.
read_test_costs() {
  awk '/^---/ { exit } { print $3, $1 }' "$1"
}

echo "== Stages"
if [ -f "$folder/stages.txt" ]; then
  echo "From .ci/run: wall s, processor s (user and system), stage"
  cat "$folder/stages.txt"
fi
for log in "$folder"/*/.ninja_log; do
  [ -f "$log" ] || continue
  preset=$(basename "$(dirname "$log")")
  # Ninja counts from the start of each call and orders its log anew now and
  # then: of a folder built in several calls this tells the longest.
  awk -F'\t' -v preset="$preset" '
    /^[0-9]/ {
      if ($2 + 0 > wall) wall = $2
      if (!($4 in cost)) ++steps
      cost[$4] = $2 - $1
      if ($4 ~ /\.o$/) unit[$4] = 1
    }
    END {
      for (output in cost) {
        all += cost[output]
        if (output in unit) ++compiled; else rest += cost[output]
      }
      printf "build %s: %.0f s, %d steps of together %.0f s, ", preset,
        wall / 1000, steps, all / 1000
      printf "of these %d units and %.0f s of links\n", compiled,
        rest / 1000
    }' "$log"
done
for costs in "$folder"/*/Testing/Temporary/CTestCostData.txt; do
  [ -f "$costs" ] || continue
  preset=$(basename "${costs%/Testing/*}")
  read_test_costs "$costs" | awk -v preset="$preset" '
    { sum += $1 }
    END { printf "tests %s: %d of together %.0f s\n", preset, NR, sum }'
done

echo
echo "== Dearest translation units (s, build, object)"
for log in "$folder"/*/.ninja_log; do
  [ -f "$log" ] || continue
  preset=$(basename "$(dirname "$log")")
  read_ninja_log "$log" | awk -v preset="$preset" '$2 ~ /\.o$/ {
    sub(/CMakeFiles\//, "", $2)
    printf "%.1f %s %s\n", $1 / 1000, preset, $2 }'
done | sort -k 1,1nr -k 3 | head -n "$units" || true

echo
echo "== Compiled more than once in the first build (s, times, object)"
for log in "$folder"/*/.ninja_log; do
  [ -f "$log" ] || continue
  read_ninja_log "$log" | awk '$2 ~ /\.o$/ {
    name = $2
    sub(/.*\//, "", name)
    cost[name] += $1
    ++times[name] }
    END { for (name in cost) if (times[name] > 1)
      printf "%.1f %d %s\n", cost[name] / 1000, times[name], name }' |
    sort -k 1,1nr | head -n "$units" || true
  break
done

echo
echo "== Headers (units that read it in the first build, header)"
for log in "$folder"/*/.ninja_log; do
  [ -f "$log" ] || continue
  ninja -C "$(dirname "$log")" -t deps 2>/dev/null | awk '
    BEGIN {
      count = split("absl/container/flat_hash_map.h absl/random/random.h" \
        " absl/strings/str_format.h absl/synchronization/mutex.h" \
        " absl/time/time.h boost/asio/io_context.hpp" \
        " boost/asio/ip/tcp.hpp boost/beast/http/parser.hpp" \
        " boost/histogram.hpp catch2/catch.hpp httplib.h" \
        " log4cplus/logger.h nlohmann/json.hpp tclap/CmdLine.h" \
        " Wire/wgPeer.pb.h", names, " ")
      for (i = 1; i <= count; ++i) wanted[names[i]] = 1
    }
    /^ / {
      sub(/^ */, "")
      sub(/.*\/include\//, "")
      sub(/.*\/Source\//, "")
      if ($0 in wanted) ++units[$0] }
    END { for (header in units) print units[header], header }' |
    sort -k 1,1nr
  break
done

echo
echo "== Longest tests (s, build, test)"
for costs in "$folder"/*/Testing/Temporary/CTestCostData.txt; do
  [ -f "$costs" ] || continue
  preset=$(basename "${costs%/Testing/*}")
  read_test_costs "$costs" | awk -v preset="$preset" '
    { printf "%.1f %s %s\n", $1, preset, $2 }'
done | sort -k 1,1nr -k 3 | head -n "$tests" || true
