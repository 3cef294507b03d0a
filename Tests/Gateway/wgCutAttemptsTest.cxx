// SPDX-License-Identifier: Apache-2.0
#include <catch2/catch.hpp>

#include "wgCutAttempts.h"

using wg::CutAttempts;
using wg::Directory;
using wg::Elapsed;
using wg::EndFoundBy;
using wg::FindEndpoint;
using wg::MergeRegistration;
using wg::NoteAlive;
using wg::NoteCut;
using wg::TakeEnded;
using Registration = wg::wire::Registration;

namespace {

const Elapsed Start = absl::Seconds(100);

Registration Beat(const std::string& name, Registration::State state,
                  int sequence, std::int64_t born = 0)
{
  Registration beat;
  beat.set_endpoint(name);
  beat.set_service("llm");
  beat.set_address("10.0.0.1:80");
  beat.set_state(state);
  beat.set_sequence(static_cast<std::uint64_t>(sequence));
  beat.set_born_ms(born);
  return beat;
}

struct Site
{
  Site()
  {
    MergeRegistration(directory, Beat("e", Registration::READY, 1), Start);
  }
  bool Cut(const std::string& request, Elapsed at = Start)
  {
    return NoteCut(cuts, *FindEndpoint(directory, "e"),
                   { wg::RequestSuspect(request) }, at);
  }
  Directory directory;
  CutAttempts cuts;
};

} // namespace

TEST_CASE("An endpoint to which nothing connects has ended", "[cuts]")
{
  Site site;
  CHECK(site.Cut("a"));
  CHECK_FALSE(site.Cut("b"));
  CHECK(TakeEnded(site.cuts, site.directory, Start).empty());
  const auto ended = TakeEnded(site.cuts, "e");
  REQUIRE(ended.size() == 1);
  CHECK(ended[0].suspects ==
        std::vector<wg::CrashSuspect>{ wg::RequestSuspect("a"),
                                       wg::RequestSuspect("b") });
  CHECK(TakeEnded(site.cuts, "e").empty());
}

TEST_CASE("An endpoint that answers has not ended", "[cuts]")
{
  Site site;
  site.Cut("a");
  NoteAlive(site.cuts, "e");
  CHECK(TakeEnded(site.cuts, "e").empty());
}

TEST_CASE("A cut at an endpoint that leaves tells nothing", "[cuts]")
{
  // A release: the endpoint says that it leaves, ends, and cuts what it had.
  Site site;
  MergeRegistration(site.directory, Beat("e", Registration::LEAVING, 2),
                    Start);
  CHECK_FALSE(site.Cut("a"));
  CHECK(TakeEnded(site.cuts, "e").empty());
}

TEST_CASE("One that says that it ends has not crashed", "[cuts]")
{
  // A release without a notice: an end is told while requests still run.
  Site site;
  site.Cut("a");
  MergeRegistration(site.directory, Beat("e", Registration::GONE, 0), Start);
  CHECK(TakeEnded(site.cuts, site.directory, Start).empty());
  CHECK(site.cuts.endpoints.empty());
}

TEST_CASE("Silence and a later start show an end", "[cuts]")
{
  Site silent;
  silent.Cut("a");
  MergeRegistration(silent.directory, Beat("e", Registration::SILENT, 1),
                    Start);
  auto ended = TakeEnded(silent.cuts, silent.directory, Start);
  REQUIRE(ended.size() == 1);
  CHECK(ended[0].foundBy == EndFoundBy::Silence);

  Site again;
  again.Cut("a");
  MergeRegistration(again.directory, Beat("e", Registration::READY, 1, 7),
                    Start);
  ended = TakeEnded(again.cuts, again.directory, Start);
  REQUIRE(ended.size() == 1);
  CHECK(ended[0].foundBy == EndFoundBy::LaterStart);

  Site other; // another name at its address
  other.Cut("a");
  MergeRegistration(other.directory, Beat("f", Registration::READY, 1),
                    Start + absl::Seconds(1));
  CHECK(TakeEnded(other.cuts, other.directory, Start).size() == 1);
}

TEST_CASE("A cut of which nothing more is heard is forgotten", "[cuts]")
{
  // Endpoints also break answers off, or lose connections, and go on.
  Site site;
  site.Cut("a");
  const Elapsed later = Start + absl::Seconds(9);
  CHECK(TakeEnded(site.cuts, site.directory, later).empty());
  CHECK(site.cuts.endpoints.empty());
}
