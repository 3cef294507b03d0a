#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Installs what weirgate is built with (Debian packages), builds it, and then
# runs the demo or the tests.
#
# usage: Setup.sh demo [hinokuni|windward]
#        Setup.sh test
#        Setup.sh install
set -euo pipefail
cd "$(dirname "$0")/.."

packages=(
  build-essential catch2 clang-format clang-tidy cmake curl
  libabsl-dev libbenchmark-dev libboost-dev libcpp-httplib-dev
  liblog4cplus-dev libnghttp2-dev libprotobuf-dev libssl-dev libtclap-dev
  libtomlplusplus-dev libtrompeloeil-cpp-dev libxxhash-dev libzstd-dev
  ninja-build nlohmann-json3-dev pkg-config protobuf-compiler
)

install_packages() {
  local missing=()
  for package in "${packages[@]}"; do
    dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
  done
  [ ${#missing[@]} = 0 ] && return
  local run=
  [ "$(id -u)" = 0 ] || run=sudo
  $run apt-get update -qq
  DEBIAN_FRONTEND=noninteractive $run apt-get install -y -qq \
    --no-install-recommends "${missing[@]}" >/dev/null
}

build() {
  cmake --preset "$1" >/dev/null
  cmake --build --preset "$1"
}

install_packages
case "${1:-}" in
  install) ;;
  demo)
    build release
    Utilities/Demo/RunDemo.sh build/release "${2:-hinokuni}"
    ;;
  test)
    build release
    Utilities/CI/RunTests.sh build/release
    ;;
  *)
    echo "usage: $0 demo|test|install" >&2
    exit 2
    ;;
esac
