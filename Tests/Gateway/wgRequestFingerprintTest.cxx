// SPDX-License-Identifier: Apache-2.0
#include <string>
#include <vector>

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

TEST_CASE("All parts of a prompt but the last may be shared", "[fingerprint]")
{
  using wg::SharedParts;
  using Parts = std::vector<wg::PromptPart>;
  CHECK(SharedParts(Parts{}).empty());
  CHECK(SharedParts(Parts{ { "aa", 1 } }).empty());
  const auto two = SharedParts(Parts{ { "aa", 1 }, { "aa", 2 }, { "cc", 3 } });
  CHECK(two == std::vector<wg::CrashSuspect>{ wg::PartSuspect("aa"),
                                              wg::PartSuspect("aa") });
  const Parts many(2000, { "aa", 1 });
  CHECK(SharedParts(many).size() == wg::MaxSuspectParts);
  const std::string longId(16000, 'a');
  const auto digests =
    SharedParts(Parts{ { longId, 1 }, { longId + "b", 1 }, { "c", 1 } });
  REQUIRE(digests.size() == 2);
  CHECK(digests[0].name.size() < 100);
  CHECK_FALSE(digests[0] == digests[1]);
}

TEST_CASE("Sizes of prompt parts that are no numbers name no part",
          "[fingerprint]")
{
  const auto parts =
    wg::ParsePromptParts("a:0,b:9223372036854775808,c:-1,d:nan,e,f:1,:2,");
  std::vector<std::string> ids;
  for (const wg::PromptPart& part : parts) {
    ids.push_back(part.id);
  }
  CHECK(ids == std::vector<std::string>{ "a", "c", "f", "" });
}

// Without a name it would count as what all requests have.
TEST_CASE("A part without a name is suspected")
{
  const std::vector<wg::PromptPart> parts = { { "", 5 },
                                              { "named", 5 },
                                              { "last", 5 } };
  CHECK(wg::SharedParts(parts) ==
        std::vector<wg::CrashSuspect>{ wg::PartSuspect("named") });
}
