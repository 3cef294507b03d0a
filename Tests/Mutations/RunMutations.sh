#!/bin/sh
# SPDX-License-Identifier: Apache-2.0
# Takes one mechanism away after the other and shows that its test then
# fails. Works on a copy of the committed tree; not part of CI.
#
# usage: RunMutations.sh BUILD-FOLDER [NAME...]
set -eu
top=$(cd "$(dirname "$0")/../.." && pwd)
mkdir -p "$1"
work=$(cd "$1" && pwd)
shift
here=$top/Tests/Mutations
[ $# -gt 0 ] || set -- $(cd "$here" && ls ./*.patch | sed 's|^\./||; s|\.patch$||')

rm -rf "$work/tree"
git -C "$top" archive --prefix=tree/ HEAD | tar -x -C "$work"
cmake -S "$work/tree" -B "$work/build" -G Ninja \
  -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build "$work/build" >/dev/null

caught=0
missed=0
for name; do
  patch=$here/$name.patch
  test=$(sed -n 's/^Test: //p' "$patch")
  if ! patch -s -d "$work/tree" -p1 <"$patch"; then
    echo "$name: the patch no longer applies"
    missed=$((missed + 1))
    continue
  fi
  if ! cmake --build "$work/build" >"$work/$name.log" 2>&1; then
    echo "$name: does not build"
    missed=$((missed + 1))
  elif (cd "$work/build" && timeout 300 $test) >"$work/$name.log" 2>&1; then
    echo "$name: NOT caught by $test"
    missed=$((missed + 1))
  else
    echo "$name: caught by $test"
    caught=$((caught + 1))
  fi
  patch -s -R -d "$work/tree" -p1 <"$patch"
done
echo "$caught caught, $missed not"
[ $missed = 0 ]
