// SPDX-License-Identifier: Apache-2.0
// Sound endpoints that stand still for a second at any moment of their work
// and go on, while documents come into force: callers get whole answers.
#include "wgSilenceSite.h"

namespace {

using wg::test::Await;
using wg::test::Names;
using wg::test::Ok;
using wg::test::PauseMs;
using wg::test::PlatformStandin;
using wg::test::StandinMoment;
using wg::test::Stream;
using wg::test::WholeStream;
using Site = wg::test::SilenceSite;
using Standins = std::vector<std::unique_ptr<PlatformStandin>>;

/** Endpoints of these tests tell of themselves once. */
const int LongSilence = setenv("WEIRGATE_HEARTBEAT_MS", "60000", 1);

/** Long enough for requests that come at once to go to all endpoints. */
constexpr int WorkMs = 60;

enum class Extent
{
  One,
  All
};

/** More than one endpoint has places for. */
const Names Streams{ "/r/x", "/s/x", "/r/x", "/s/x", "/r/x", "/s/x" };
const Names Texts{ "/p/x", "/i/x", "/p/x", "/i/x", "/p/x", "/i/x" };

/** Sends requests; one or all of the standins stand still as they come to the
 * moment, and documents come meanwhile.
 */
std::vector<Stream> SendBesidePause(Site& site, const Names& paths,
                                    const Standins& standins,
                                    StandinMoment moment, Extent extent)
{
  const auto end =
    extent == Extent::One ? standins.begin() + 1 : standins.end();
  std::for_each(standins.begin(), end, [moment](const auto& standin) {
    standin->PauseNextAt(moment, PauseMs);
  });
  return site.SendAll(paths, [&] {
    Await("endpoints to stand still", [&] {
      return std::all_of(standins.begin(), end, [](const auto& standin) {
        return standin->Pauses() > 0;
      });
    });
    site.Publish(2);
    site.Publish(3);
  });
}

int CountRuns(const Standins& standins, const std::string& request)
{
  int runs = 0;
  for (const auto& standin : standins) {
    runs += standin->Runs(request);
  }
  return runs;
}

void CheckStreams(const Site& site, const std::vector<Stream>& streams)
{
  for (std::size_t i = 0; i < streams.size(); ++i) {
    INFO(Streams[i] << "\n" << site.LogOf(streams[i].request));
    CHECK(streams[i].status == Ok);
    CHECK(streams[i].ids == WholeStream);
    const bool mayRepeat = Streams[i] == "/r/x";
    CHECK((mayRepeat || CountRuns(site.engines, streams[i].request) <= 1));
  }
}

void PauseEngines(StandinMoment moment, Extent extent)
{
  Site site(2);
  CheckStreams(site,
               SendBesidePause(site, Streams, site.engines, moment, extent));
}

void PauseStages(int encoders, Extent extent)
{
  Site site(2, 1, encoders);
  for (const auto& encoder : site.encoders) {
    encoder->SetCallMs(WorkMs);
  }
  CheckStreams(site, SendBesidePause(site, Streams, site.encoders,
                                     StandinMoment::BeforeHead, extent));
}

void PausePlain(StandinMoment moment, Extent extent)
{
  Site site(1);
  Standins plain;
  for (const char* name : { "plain-0", "plain-1" }) {
    plain.push_back(std::make_unique<PlatformStandin>(name));
    plain.back()->SetWork(WorkMs, static_cast<int>(Texts.size()));
    REQUIRE(plain.back()->Register(site.cluster.Api(0), "plain"));
  }
  Await("both endpoints to serve", [&] {
    site.Send("/p/x");
    return plain[0]->AllRuns() > 0 && plain[1]->AllRuns() > 0;
  });
  const auto answers = SendBesidePause(site, Texts, plain, moment, extent);
  for (std::size_t i = 0; i < answers.size(); ++i) {
    INFO(Texts[i] << "\n" << site.LogOf(answers[i].request));
    CHECK(answers[i].status == Ok);
    CHECK(answers[i].body == answers[i].request + "|body");
    const bool mayRepeat = Texts[i] == "/i/x";
    CHECK((mayRepeat || CountRuns(plain, answers[i].request) <= 1));
  }
}

} // namespace

TEST_CASE("A stream is lost as its engine pauses before the head",
          "[pause-head]")
{
  PauseEngines(StandinMoment::BeforeHead, Extent::One);
}

TEST_CASE("Streams are lost as all engines pause before the head",
          "[pause-head]")
{
  PauseEngines(StandinMoment::BeforeHead, Extent::All);
}

TEST_CASE("A stream is lost as its engine pauses before the first event",
          "[pause-first-event]")
{
  PauseEngines(StandinMoment::BeforeFirstEvent, Extent::One);
}

TEST_CASE("Streams are lost as all engines pause before the first event",
          "[pause-first-event]")
{
  PauseEngines(StandinMoment::BeforeFirstEvent, Extent::All);
}

TEST_CASE("A stream is cut as its engine pauses before the last event",
          "[pause-last-event]")
{
  PauseEngines(StandinMoment::BeforeLastEvent, Extent::One);
}

TEST_CASE("Streams are cut as all engines pause before the last event",
          "[pause-last-event]")
{
  PauseEngines(StandinMoment::BeforeLastEvent, Extent::All);
}

TEST_CASE("A stream is cut as its engine pauses before the end", "[pause-end]")
{
  PauseEngines(StandinMoment::BeforeEnd, Extent::One);
}

TEST_CASE("Streams are cut as all engines pause before the end", "[pause-end]")
{
  PauseEngines(StandinMoment::BeforeEnd, Extent::All);
}

TEST_CASE("A whole answer is lost as its endpoint pauses", "[pause-plain]")
{
  const auto moment =
    GENERATE(StandinMoment::BeforeHead, StandinMoment::InBody,
             StandinMoment::BeforeEnd);
  const auto extent = GENERATE(Extent::One, Extent::All);
  CAPTURE(static_cast<int>(moment), static_cast<int>(extent));
  PausePlain(moment, extent);
}

TEST_CASE("A request is lost as one of two endpoints of its stage pauses",
          "[pause-stage]")
{
  PauseStages(2, Extent::One);
}

TEST_CASE("A request is lost as both endpoints of its stage pause",
          "[pause-stage]")
{
  PauseStages(2, Extent::All);
}

TEST_CASE("A request is lost as the only endpoint of its stage pauses",
          "[pause-stage]")
{
  PauseStages(1, Extent::All);
}
