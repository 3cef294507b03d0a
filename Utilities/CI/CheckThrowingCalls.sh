#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Checks that no call was added that throws at bytes it does not expect:
# value(), get<>, at() and dump() of JSON, set() of a field, numbers and parts
# of texts by the standard library. throwing-calls.txt lists the calls that
# are known to get nothing unchecked from outside, by file, with the reason.
#
# usage: CheckThrowingCalls.sh
set -euo pipefail
cd "$(dirname "$0")/../.."
list=Utilities/CI/throwing-calls.txt
pattern='\.(value|at|substr)\(|(\.|->)get<|std::get<|\.dump\('
pattern+='|\bsto(i|l|ll|ul|ull|f|d|ld)\('
pattern+='|\b(request|response|head|shown|call|fields)\.set\('

found=$(mktemp)
allowed=$(mktemp)
trap 'rm -f "$found" "$allowed"' EXIT
git ls-files 'Source/*.cxx' 'Source/*.h' 'platform/*' | grep -v '\.pb\.' |
  xargs grep -cE "$pattern" | awk -F: '$2 > 0 { print $2, $1 }' |
  sort -k 2 >"$found"
grep -v '^#' "$list" | awk '{ print $1, $2 }' | sort -k 2 >"$allowed"
if ! diff "$allowed" "$found"; then
  echo "Calls that may throw (>) differ from $list (<). Read what comes from" \
    "outside with wgJson.h, SetField or the functions of Abseil, or change" \
    "the list and give the reason." >&2
  exit 1
fi
echo "Calls that may throw: as listed in $(wc -l <"$allowed") files."
