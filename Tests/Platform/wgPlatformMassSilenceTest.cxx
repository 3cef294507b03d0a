// SPDX-License-Identifier: Apache-2.0
// All endpoints stand still for a moment and go on: what boxes believe of them
// afterwards costs no request.
#include <mutex>

#include "wgSilenceSite.h"

namespace {

using wg::test::EventMs;
using wg::test::Ok;
using wg::test::Stream;
using wg::test::WholeStream;
using Site = wg::test::SilenceSite;

/** Endpoints of this test tell of themselves once. */
const int LongSilence = setenv("WEIRGATE_HEARTBEAT_MS", "60000", 1);

constexpr int Callers = 12;
constexpr int StandMs = 1200;
constexpr absl::Duration Before = absl::Seconds(2);
constexpr absl::Duration After = absl::Seconds(4);
/** From then on all are served in time as before. */
constexpr absl::Duration RecoverWithin = absl::Seconds(1);
/** Callers give a stream up after a gap of this length. */
constexpr absl::Duration Patience = absl::Seconds(2);
constexpr absl::Duration StreamTime = absl::Milliseconds(4 * EventMs);

struct Sent
{
  absl::Time at;
  Stream stream;
};

/** Callers send streams, one after the other, all the time. */
std::vector<Sent> SendBesideSilence(Site& site, absl::Time& spoken)
{
  std::mutex mutex;
  std::vector<Sent> all;
  std::atomic<bool> stopping{ false };
  std::vector<std::thread> callers;
  for (int i = 0; i < Callers; ++i) {
    callers.emplace_back([&] {
      while (!stopping) {
        Sent sent{ absl::Now(), {} };
        sent.stream = site.Send();
        const std::lock_guard<std::mutex> lock(mutex);
        all.push_back(std::move(sent));
      }
    });
  }
  absl::SleepFor(Before);
  for (const auto& engine : site.engines) {
    engine->PauseFor(StandMs);
  }
  for (const auto& encoder : site.encoders) {
    encoder->PauseFor(StandMs);
  }
  absl::SleepFor(absl::Milliseconds(StandMs));
  spoken = absl::Now();
  absl::SleepFor(After);
  stopping = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  return all;
}

} // namespace

// Endpoints that all pause are neither broken nor to be left alone afterwards.
TEST_CASE("Requests are refused or late after all endpoints paused",
          "[mass-silence]")
{
  Site site(2, 1, 2);
  absl::Time spoken;
  const auto all = SendBesideSilence(site, spoken);
  for (const Sent& sent : all) {
    INFO(site.LogOf(sent.stream.request));
    CHECK(sent.stream.status == Ok);
    CHECK(sent.stream.ids == WholeStream);
  }
  for (const Sent& sent : all) {
    if (sent.at >= spoken + RecoverWithin) {
      INFO(site.LogOf(sent.stream.request));
      CHECK(sent.stream.ended - sent.at <= Patience + StreamTime);
    }
  }
}
