// SPDX-License-Identifier: Apache-2.0
// All endpoints stand still for a moment and go on: what boxes believe of them
// afterwards costs no request.
#include <mutex>

#include "wgSilenceSite.h"

namespace {

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
/** From then on as large a part of the requests is served as before. */
constexpr absl::Duration RecoverWithin = absl::Seconds(1);

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

/** Requests a second, of those that were sent within a time. */
double ServedPerSecond(const std::vector<Sent>& all, absl::Time from,
                       absl::Time until)
{
  const auto served =
    std::count_if(all.begin(), all.end(), [&](const Sent& sent) {
      return sent.stream.ids == WholeStream && sent.at >= from &&
             sent.at < until;
    });
  return static_cast<double>(served) / absl::ToDoubleSeconds(until - from);
}

} // namespace

// Endpoints that all pause are neither broken nor to be left alone afterwards.
TEST_CASE("Requests are refused or rare after all endpoints paused",
          "[mass-silence]")
{
  Site site(2, 1, 2);
  const absl::Time begun = absl::Now();
  absl::Time spoken;
  const auto all = SendBesideSilence(site, spoken);
  for (const Sent& sent : all) {
    INFO(site.LogOf(sent.stream.request));
    CHECK(sent.stream.status == Ok);
    CHECK(sent.stream.ids == WholeStream);
  }
  const double former = ServedPerSecond(all, begun, begun + Before / 2);
  const double later =
    ServedPerSecond(all, spoken + RecoverWithin, spoken + After - Before / 2);
  CAPTURE(former, later);
  // A caller more or less may fall into either time.
  CHECK(later * absl::ToDoubleSeconds(Before) + Callers >=
        former * absl::ToDoubleSeconds(Before));
}
