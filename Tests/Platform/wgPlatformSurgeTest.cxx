// SPDX-License-Identifier: Apache-2.0
// Most new connections go to one box, which has a small part of a core.
#include <algorithm>
#include <atomic>
#include <csignal>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include "wgPlatformCluster.h"
#include "wgPlatformStandin.h"

namespace {

using wg::test::Await;
using wg::test::PlatformCluster;
using wg::test::PlatformStandin;

constexpr int Ok = 200;
constexpr int Boxes = 4;
constexpr int SurgedBox = 0;
constexpr int Callers = 240;
constexpr int KeptCallers = 4; // with a connection each, to the same box
constexpr absl::Duration UsualPause = absl::Seconds(4);
constexpr absl::Duration SurgePause = absl::Seconds(1);
constexpr absl::Duration KeptPause = absl::Milliseconds(250);
constexpr int PatienceSeconds = 1;
/** What the users allow boxes to take until they have adapted. */
constexpr absl::Duration ContactTime = absl::Seconds(3);
constexpr absl::Duration UsualTime = absl::Seconds(7);
constexpr absl::Duration SurgeTime = absl::Seconds(9);
/** The stated aim: first tries that were read are served as often as before.
 */
constexpr double AimShare = 0.95;

/** What the box runs of each 100 ms, as quotas have it: it can serve some 100
 * requests a second so.
 */
#ifdef __SANITIZE_THREAD__
constexpr absl::Duration RunTime = absl::Milliseconds(40);
#else
constexpr absl::Duration RunTime = absl::Milliseconds(4);
#endif
constexpr absl::Duration QuotaPeriod = absl::Milliseconds(100);

/** Makes a box stand still for the rest of each period. */
class Quota
{
public:
  explicit Quota(wg::test::Process& box)
    : box_(box)
    , thread_([this] { Run(); })
  {
  }
  ~Quota()
  {
    stopping_ = true;
    thread_.join();
  }
  Quota(const Quota&) = delete;
  Quota& operator=(const Quota&) = delete;

private:
  void Run()
  {
    while (!stopping_) {
      box_.Signal(SIGCONT);
      absl::SleepFor(RunTime);
      box_.Signal(SIGSTOP);
      absl::SleepFor(QuotaPeriod - RunTime);
    }
    box_.Signal(SIGCONT);
  }

  wg::test::Process& box_;
  std::atomic<bool> stopping_{ false };
  std::thread thread_;
};

struct Tries
{
  int read = 0;
  int served = 0;
  int closed = 0; // unread
  double Share() const { return read == 0 ? 0.0 : 1.0 * served / read; }
};

/** Callers that open a connection for each request, and go to another box at
 * once if it is closed unread.
 */
class Traffic
{
public:
  explicit Traffic(PlatformCluster& cluster)
    : cluster_(cluster)
  {
    for (int i = 0; i < Callers; ++i) {
      threads_.emplace_back([this, i] { Call(i); });
    }
    for (int i = 0; i < KeptCallers; ++i) {
      threads_.emplace_back([this, i] { CallOverKept(i); });
    }
  }
  ~Traffic()
  {
    stopping_ = true;
    for (std::thread& thread : threads_) {
      thread.join();
    }
  }
  Traffic(const Traffic&) = delete;
  Traffic& operator=(const Traffic&) = delete;

  void SetSurge(bool isSurge) { isSurge_ = isSurge; }

  Tries Take()
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::exchange(tries_, {});
  }
  Tries TakeKept()
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::exchange(kept_, {});
  }

private:
  httplib::Headers Fields()
  {
    return { { "Host", "one.example" },
             { "X-Weirgate-Attempt-Id", absl::StrCat("try", ++requests_) },
             { "X-Weirgate-Deadline-Ms",
               absl::StrCat(1000 * PatienceSeconds) },
             { "Authorization", "Token k1" } };
  }

  /** The answer's status; none if the connection was closed before. */
  std::optional<int> Try(httplib::Client& client)
  {
    client.set_read_timeout(PatienceSeconds);
    const absl::Time begun = absl::Now();
    const auto reply = client.Post("/p/x", Fields(), "body", "text/plain");
    if (reply) {
      return reply->status;
    }
    const bool isLate =
      absl::Now() - begun >= 0.9 * absl::Seconds(PatienceSeconds);
    return isLate ? std::optional<int>(0) : std::nullopt;
  }

  void Call(int caller)
  {
    absl::SleepFor(UsualPause * caller / Callers);
    int other = caller % Boxes;
    while (!stopping_) {
      const absl::Time begun = absl::Now();
      const bool isSurge = isSurge_;
      int box = isSurge ? SurgedBox : other;
      std::optional<int> status;
      int closed = 0;
      for (int attempt = 0; attempt < Boxes && !status; ++attempt) {
        httplib::Client client("127.0.0.1", cluster_.Listen(box));
        status = Try(client);
        closed += status ? 0 : 1;
        box = (box + 1) % Boxes;
      }
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        tries_.closed += closed;
        tries_.read += 1;
        tries_.served += status == Ok ? 1 : 0;
      }
      other = (other + 1) % Boxes;
      const absl::Time next = begun + (isSurge ? SurgePause : UsualPause);
      while (!stopping_ && absl::Now() < next && isSurge == isSurge_) {
        absl::SleepFor(absl::Milliseconds(10));
      }
    }
  }

  void CallOverKept(int caller)
  {
    httplib::Client client("127.0.0.1", cluster_.Listen(SurgedBox));
    client.set_keep_alive(true);
    absl::SleepFor(KeptPause * caller / KeptCallers);
    while (!stopping_) {
      const std::optional<int> status = Try(client);
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        kept_.read += 1;
        kept_.served += status == Ok ? 1 : 0;
      }
      absl::SleepFor(KeptPause);
    }
  }

  PlatformCluster& cluster_;
  std::atomic<bool> stopping_{ false };
  std::atomic<bool> isSurge_{ false };
  std::atomic<int> requests_{ 0 };
  std::mutex mutex_;
  Tries tries_;
  Tries kept_;
  std::vector<std::thread> threads_;
};

} // namespace

// Guards against a box that reads more requests than it can serve while most
// new connections come to it.
TEST_CASE("Most new connections go to one box", "[surge]")
{
  PlatformCluster cluster(Boxes);
  PlatformStandin first("i-plain0");
  PlatformStandin second("i-plain1");
  std::atomic<bool> stopping{ false };
  std::thread heartbeats([&] {
    while (!stopping) {
      first.Register(cluster.Api(0), "plain");
      second.Register(cluster.Api(0), "plain");
      absl::SleepFor(absl::Milliseconds(300));
    }
  });
  cluster.AwaitServing();
  for (int box = 0; box < Boxes; ++box) {
    Await("a box to serve", [&cluster, box] {
      const auto reply = cluster.Send(box, "/p/x", absl::StrCat("first", box));
      return reply && reply->status == Ok;
    });
  }
  {
    const Quota quota(cluster.Gateway(SurgedBox));
    Traffic traffic(cluster);
    absl::SleepFor(ContactTime);
    traffic.Take();
    absl::SleepFor(UsualTime - ContactTime);
    const Tries before = traffic.Take();
    traffic.SetSurge(true);
    absl::SleepFor(ContactTime);
    const Tries adapting = traffic.Take();
    traffic.TakeKept();
    absl::SleepFor(SurgeTime - ContactTime);
    const Tries surged = traffic.Take();
    const Tries kept = traffic.TakeKept();
    traffic.SetSurge(false);
    absl::SleepFor(ContactTime);
    traffic.Take();
    absl::SleepFor(ContactTime);
    const Tries after = traffic.Take();
    UNSCOPED_INFO(
      "served of read, closed unread: before "
      << before.served << " of " << before.read << ", " << before.closed
      << "; at first " << adapting.served << " of " << adapting.read << ", "
      << adapting.closed << "; then " << surged.served << " of " << surged.read
      << ", " << surged.closed << "; kept connections " << kept.served
      << " of " << kept.read << "; after " << after.served << " of "
      << after.read << ", " << after.closed);
    CHECK(before.closed == 0);
    CHECK(surged.Share() >= AimShare * before.Share());
    CHECK(kept.Share() >= AimShare * before.Share());
    CHECK(after.Share() >= AimShare * before.Share());
    CHECK(after.closed == 0);
  }
  stopping = true;
  heartbeats.join();
}
