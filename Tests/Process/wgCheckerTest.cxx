// SPDX-License-Identifier: Apache-2.0
// The checker itself must catch every kind of planted fault.
#include <catch2/catch.hpp>

#include "wgChecker.h"

namespace {

using wg::test::Observations;

Observations Sound()
{
  Observations seen;
  for (int i = 0; i < 5; ++i) {
    const std::string n = std::to_string(i);
    seen.callers.push_back(
      { "r" + n, "k" + n, "in" + n, "text " + n, 200, "", "text " + n, true });
    seen.onceRuns.push_back({ "sms-1", "r" + n, 1 });
    seen.anyRuns.push_back({ "sms-1", "r" + n, 1 });
  }
  seen.callers.push_back({ "r9", "k9", "in9", "", 503, "not_run", "", true });
  seen.inForce = { { "e1", 1 }, { "e2", 1 }, { "e1", 2 }, { "e2", 2 } };
  seen.acknowledged = { { 1, 1.5 }, { 2, 2.5 } };
  seen.valueAtRevision = { { 1, 1.5 }, { 2, 2.5 } };
  seen.finalRevision = 2;
  return seen;
}

bool Catches(const Observations& seen, const std::string& words)
{
  for (const std::string& violation : wg::test::Check(seen)) {
    if (violation.find(words) != std::string::npos) {
      return true;
    }
  }
  return false;
}

} // namespace

TEST_CASE("the checker passes a sound run")
{
  CHECK(wg::test::Check(Sound()).empty());
}

TEST_CASE("the checker catches a loss")
{
  Observations seen = Sound();
  seen.onceRuns.erase(seen.onceRuns.begin());
  CHECK(Catches(seen, "never ran"));
}

TEST_CASE("the checker catches a double")
{
  Observations seen = Sound();
  seen.onceRuns.push_back({ "sms-2", "r1", 1 });
  CHECK(Catches(seen, "r1 ran 2 times"));
  seen = Sound();
  seen.onceRuns.push_back({ "sms-2", "unknown", 2 });
  CHECK(Catches(seen, "unknown ran 2 times"));
}

TEST_CASE("the checker catches swapped answers")
{
  Observations seen = Sound();
  std::swap(seen.callers[0].text, seen.callers[1].text);
  CHECK(Catches(seen, "not its own"));
}

TEST_CASE("the checker catches a false \"not run\"")
{
  Observations seen = Sound();
  seen.anyRuns.push_back({ "encode-1", "r9", 1 });
  CHECK(Catches(seen, "called not run, but ran"));
}

TEST_CASE("the checker catches a second run under one key")
{
  Observations seen = Sound();
  seen.callers[1].key = "k0";
  CHECK(Catches(seen, "key k0 ran 2 times"));
}

TEST_CASE("the checker catches a cut answer")
{
  Observations seen = Sound();
  seen.callers[2].text = "tex";
  CHECK(Catches(seen, "cut answer"));
}

TEST_CASE("the checker catches a configuration that went back")
{
  Observations seen = Sound();
  seen.inForce.push_back({ "e1", 1 });
  CHECK(Catches(seen, "went back"));
  seen = Sound();
  seen.valueAtRevision[2] = 9.0;
  CHECK(Catches(seen, "lost or changed"));
  seen = Sound();
  seen.finalRevision = 1;
  CHECK(Catches(seen, "lost or changed"));
}
