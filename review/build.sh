#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Builds the stand-ins of the cases, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]*/*.cxx; do
  name=case$(basename "$(dirname "$source")")
  c++ -std=c++17 -O1 -Wall -Wextra -pthread -o "target/review/$name" \
    "$source" review/common/*.cxx
done
