#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Builds the stand-ins of the cases, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review/common
flags=(-std=c++17 -O1 -Wall -Wextra -pthread)
objects=()
jobs=()
for source in review/common/*.cxx; do
  object=target/review/common/$(basename "$source" .cxx).o
  objects+=("$object")
  c++ "${flags[@]}" -c -o "$object" "$source" &
  jobs+=($!)
done
for job in "${jobs[@]}"; do
  wait "$job"
done
for source in review/[0-9]*/*.cxx; do
  name=case$(basename "$(dirname "$source")")
  c++ "${flags[@]}" -o "target/review/$name" "$source" "${objects[@]}"
done
