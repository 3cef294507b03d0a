#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Runs the tests of a build folder. A failure passes only when its test is
# listed in KNOWN-RED.txt (test, cause, issue; three lines at the most).
#
# usage: RunTests.sh BUILD-FOLDER [CTEST-ARGUMENT...]
set -uo pipefail
cd "$(dirname "$0")/../.."
build=$1
shift
red=KNOWN-RED.txt
if [ -f $red ]; then
  if [ "$(grep -c . $red)" -gt 3 ]; then
    echo "$red has more than three lines." >&2
    exit 1
  fi
  echo "Known to fail:"
  cat $red
fi
# A build with the thread sanitizer: no process may report anything.
races=$build/races
rm -rf "$races"
mkdir -p "$races"
export TSAN_OPTIONS="suppressions=$PWD/Tests/Sanitizers/thread.supp"
TSAN_OPTIONS+=" log_path=$PWD/$races/report"

failed=$build/Testing/Temporary/LastTestsFailed.log
rm -f "$failed"
ctest --test-dir "$build" --output-on-failure -j 4 "$@"
passed=$?
if [ -n "$(ls "$races")" ]; then
  echo "The thread sanitizer reports:" >&2
  cat "$races"/* >&2
  exit 1
fi
[ $passed = 0 ] && exit 0
[ -f $red ] && [ -f "$failed" ] || exit 1
while IFS=: read -r _ test; do
  if ! cut -d, -f1 $red | grep -qxF "$test"; then
    echo "$test failed and is not listed in $red." >&2
    exit 1
  fi
done <"$failed"
echo "Only tests listed in $red failed."
