#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0: the same without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -x "$root/target/review/case5" ] || exit 2
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cd "$root" || exit 2
TROUBLE=${TROUBLE:-1} "$root/target/review/case5" "$root" "$folder" \
  "$here/record.txt"
