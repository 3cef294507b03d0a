#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Checks the sources: format, linter, SPDX lines, and that the generated code
# is what its source gives.
#
# usage: CheckSources.sh BUILD-FOLDER [JOBS]
#   JOBS linters run at once; as many as there are cores by default.
set -euo pipefail
cd "$(dirname "$0")/../.."
build=$1
jobs=${2:-$(nproc)}
mapfile -t files < <(git ls-files '*.h' '*.cxx' | grep -v '\.pb\.')

clang-format --dry-run -Werror "${files[@]}"
echo "Format: ${#files[@]} files are clean."

missing=$(grep -L 'SPDX-License-Identifier: Apache-2.0' "${files[@]}" || true)
if [ -n "$missing" ]; then
  echo "No SPDX line in: $missing" >&2
  exit 1
fi

Utilities/CI/CheckThrowingCalls.sh

generated=$(mktemp -d)
trap 'rm -rf "$generated"' EXIT
protoc --proto_path=Source/Wire --cpp_out="$generated" wgPeer.proto
for name in wgPeer.pb.h wgPeer.pb.cc; do
  if ! cmp -s "$generated/$name" "Source/Wire/$name"; then
    echo "Source/Wire/$name is not what wgPeer.proto gives; run protoc" \
      "--cpp_out=. wgPeer.proto in Source/Wire." >&2
    exit 1
  fi
done
echo "Generated code: as its source gives it."

# Fields are read under their lock; references to them are not followed.
locks=(--extra-arg=-Wthread-safety-analysis
  --extra-arg=-Wno-thread-safety-precise
  --extra-arg=-Wno-thread-safety-reference)
# The largest file first, one file a linter: none is left over at the end.
mapfile -t sources < <(git ls-files '*.cxx' | xargs ls -S)
printf '%s\n' "${sources[@]}" |
  xargs -P "$jobs" -n 1 clang-tidy --quiet "${locks[@]}" -p "$build" \
    2>"$generated/log" ||
  { cat "$generated/log" >&2; exit 1; }
echo "Linter: ${#sources[@]} files are clean."
