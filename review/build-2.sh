#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Builds the programs of the cases 6 to 10 into target/review-2. They use no
# library but the C++ library, POSIX and nlohmann-json, which deploy/system.toml
# lists. weirgated itself is built as deploy/system.toml says.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
rm -f "$out"/*.o
flags=(-std=c++17 -O2 -Wall -Wextra -Werror -pthread)
for source in wgCaseWire wgCaseSite; do
  "${CXX:-c++}" "${flags[@]}" -c "review/programs-2/$source.cxx" \
    -o "$out/$source.o" &
done
wait
for case in review/programs-2/*Case.cxx; do
  "${CXX:-c++}" "${flags[@]}" "$case" "$out/wgCaseWire.o" \
    "$out/wgCaseSite.o" -o "$out/$(basename "$case" .cxx)"
done
