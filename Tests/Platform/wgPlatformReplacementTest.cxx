// SPDX-License-Identifier: Apache-2.0
// A control box is replaced by one at another address, with an empty disk.
// Then others lose their disks.
#include <csignal>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "absl/strings/str_join.h"
#include "absl/time/clock.h"

#include "wgPlatformCluster.h"

namespace {

using wg::test::Await;
using wg::test::PlatformCluster;
using wg::test::WaitFor;

constexpr int Ok = 200;
/** From its start on a new box has so long to catch up. */
constexpr absl::Duration CatchUpTime = absl::Seconds(4);
/** The silence of --spare-after-s, an election and two changes of the voters.
 */
constexpr absl::Duration TakeOverTime = absl::Seconds(3);
constexpr absl::Duration RecoveryTime = absl::Seconds(12);

/** \brief How the old box goes. */
enum class Removal
{
  Planned, // by SIGTERM
  Abrupt
};

struct Replacement
{
  int controls;
  int old;
  std::vector<int> lostDisks;
  absl::Duration lostAfter; // since the old box has ended
};

std::vector<int> BoxesLeft(const Replacement& replacement, int successor)
{
  std::vector<int> left;
  for (int control = 0; control <= successor; ++control) {
    if (control != replacement.old) {
      left.push_back(control);
    }
  }
  return left;
}

void CheckReplacement(Removal removal, const Replacement& replacement)
{
  CAPTURE(static_cast<int>(removal), replacement.old,
          absl::StrJoin(replacement.lostDisks, " "),
          absl::FormatDuration(replacement.lostAfter));
  PlatformCluster cluster(
    0, false, {}, {},
    std::vector<std::string>(static_cast<std::size_t>(replacement.controls),
                             "h1"),
    replacement.controls / 2, { "--spare-after-s=1" });
  const std::string document = PlatformCluster::Document(1);
  Await("the first document",
        [&] { return cluster.Publish(0, document) == Ok; });
  const int successor = cluster.AddControl();
  absl::SleepFor(CatchUpTime);
  wg::test::Process& old = cluster.Control(replacement.old);
  if (removal == Removal::Planned) {
    old.Signal(SIGTERM);
    CHECK(old.Wait() == 0);
  } else {
    old.Kill();
  }
  absl::SleepFor(replacement.lostAfter);
  for (const int control : replacement.lostDisks) {
    cluster.LoseDisk(control);
  }
  const std::vector<int> left = BoxesLeft(replacement, successor);
  for (const int control : left) {
    CAPTURE(control);
    CHECK(WaitFor([&] { return cluster.ReadBack(control) == document; },
                  RecoveryTime));
  }
  const std::string next = PlatformCluster::Document(2);
  CHECK(WaitFor([&] { return cluster.Publish(left.back(), next) == Ok; },
                RecoveryTime));
}

} // namespace

// An acknowledged document is lost with one disk, after a control box has been
// replaced as planned.
TEST_CASE("A disk is lost right after a control box was replaced as planned",
          "[planned]")
{
  for (const int old : { 0, 1, 2 }) {
    for (const absl::Duration after :
         { absl::ZeroDuration(), absl::Seconds(1) }) {
      CheckReplacement(Removal::Planned, { 3, old, { (old + 1) % 3 }, after });
    }
  }
}

// The same with five control boxes, of which two may lose their disks.
TEST_CASE("Two disks are lost right after one of five was replaced",
          "[planned-of-five]")
{
  for (const int old : { 0, 3 }) {
    CheckReplacement(
      Removal::Planned,
      { 5, old, { (old + 1) % 5, (old + 3) % 5 }, absl::ZeroDuration() });
  }
}

// The same where the old box ends without a signal, once its silence has been
// noticed.
TEST_CASE("A disk is lost after a control box was replaced without a signal",
          "[abrupt]")
{
  for (const int old : { 0, 1, 2 }) {
    CheckReplacement(Removal::Abrupt,
                     { 3, old, { (old + 1) % 3 }, TakeOverTime });
  }
}

// A box that stops waits for a successor that is not there.
TEST_CASE("Without a successor a control box stops at once", "[no-successor]")
{
  PlatformCluster cluster(0);
  Await("the first document", [&] {
    return cluster.Publish(0, PlatformCluster::Document(1)) == Ok;
  });
  for (const int control : { 0, 1, 2 }) {
    const absl::Time before = absl::Now();
    cluster.Control(control).Signal(SIGTERM);
    CHECK(cluster.Control(control).Wait() == 0);
    CHECK(absl::Now() - before < absl::Seconds(1));
    cluster.StartControl(control, false);
    Await("the box to be back", [&] {
      return cluster.ReadBack(control) == PlatformCluster::Document(1);
    });
  }
}
