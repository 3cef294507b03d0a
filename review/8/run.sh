#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't
# run; TROUBLE=0 leaves the disruption out. Build before: the line `build` of
# deploy/system.toml, then review/build-2.sh.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=target/review-2/wgEarlyStreamsCase
[ -x "$program" ] && [ -x target/weirgated ] || exit 2
timeout -k 1 117 "$program" "$PWD" "$here/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
