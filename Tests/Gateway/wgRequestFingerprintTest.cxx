// SPDX-License-Identifier: Apache-2.0
#include <catch2/catch.hpp>

#include "wgRequestFingerprint.h"

using wg::FingerprintOf;
using wg::PrintFingerprint;
using wg::RequestContent;

TEST_CASE("A fingerprint tells requests apart by all that they are",
          "[fingerprint]")
{
  const RequestContent one{ "t1", "one.example", "/s/x", "body" };
  const std::string print = FingerprintOf(one);
  CHECK(print.size() == 16);
  CHECK(FingerprintOf(one) == print);
  CHECK(FingerprintOf({ "t2", "one.example", "/s/x", "body" }) != print);
  CHECK(FingerprintOf({ "t1", "two.example", "/s/x", "body" }) != print);
  CHECK(FingerprintOf({ "t1", "one.example", "/s/y", "body" }) != print);
  CHECK(FingerprintOf({ "t1", "one.example", "/s/x", "" }) != print);
  // What ends one part can't begin the next.
  CHECK(FingerprintOf({ "t1", "one.example", "/s/xb", "ody" }) != print);
  CHECK(PrintFingerprint(print).size() == 32);
}
