// SPDX-License-Identifier: Apache-2.0
// What a box does with the endpoints of a large deployment, in counted steps.
#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"

#include "wgDirectory.h"
#include "wgEnginePool.h"
#include "wgStagePoolKey.h"

namespace {

using Registration = wg::wire::Registration;

constexpr int Halls = 5;
constexpr int Services = 5;

Registration MakeHeartbeat(int i, std::uint64_t sequence = 1,
                           Registration::State state = Registration::READY)
{
  Registration heartbeat;
  heartbeat.set_endpoint(absl::StrCat("i-", 1000000 + i));
  heartbeat.set_service(absl::StrCat("svc", i % Services));
  heartbeat.set_address(absl::StrCat("10.", i / 250, ".0.", i % 250, ":80"));
  heartbeat.set_hall(absl::StrCat("h", (i / Services) % Halls));
  heartbeat.set_slots(4);
  heartbeat.set_state(state);
  heartbeat.set_sequence(sequence);
  heartbeat.set_born_ms(1000);
  return heartbeat;
}

/** Endpoints as they register, so many a millisecond. */
wg::Elapsed Fill(wg::Directory& directory, int count, int eachMs)
{
  wg::Elapsed now = absl::Seconds(1);
  for (int i = 0; i < count; ++i) {
    if (i % eachMs == 0) {
      now += absl::Milliseconds(1);
    }
    wg::ForgetEndedIfDue(directory, now);
    wg::MergeRegistration(directory, MakeHeartbeat(i), now);
  }
  return now;
}

/** The same by a walk over all that is known. */
std::vector<std::string> WalkServing(const wg::Directory& directory,
                                     const std::string& service,
                                     const std::string& hall)
{
  std::vector<std::string> ids;
  for (const auto& [id, endpoint] : directory.endpoints) {
    if (endpoint.service == service &&
        (hall.empty() || endpoint.hall == hall) &&
        wg::TakesNewWork(directory, endpoint)) {
      ids.push_back(id);
    }
  }
  return ids;
}

std::vector<std::string> IdsOf(
  const std::vector<wg::DirectoryEndpoint*>& endpoints)
{
  std::vector<std::string> ids;
  for (const wg::DirectoryEndpoint* endpoint : endpoints) {
    ids.push_back(endpoint->id);
  }
  return ids;
}

} // namespace

TEST_CASE("Learning of endpoints does not look at all that are known each "
          "time")
{
  const int count = GENERATE(10003, 20000);
  wg::Directory directory;
  const wg::Elapsed now = Fill(directory, count, 4);
  CHECK(directory.endpoints.size() == static_cast<std::size_t>(count));
  const auto checks = static_cast<std::uint64_t>((now - absl::ZeroDuration()) /
                                                 wg::EndedCheckPeriod) +
                      1;
  CHECK(directory.forgetSteps <= checks * static_cast<std::uint64_t>(count));
}

TEST_CASE("The index of a large directory finds what a walk finds")
{
  wg::Directory directory;
  wg::Elapsed now = Fill(directory, 10003, 4);
  // Some end, move, fall silent or start again.
  for (int i = 0; i < 10003; i += 7) {
    Registration news = MakeHeartbeat(i, 2);
    news.set_state(i % 3 == 0   ? Registration::GONE
                   : i % 3 == 1 ? Registration::SILENT
                                : Registration::READY);
    if (i % 5 == 0) {
      news.set_hall("h9");
      news.set_address("10.99.0.1:80");
    }
    if (i % 11 == 0) {
      news.set_born_ms(2000);
    }
    wg::MergeRegistration(directory, news, now);
  }
  const auto isSame = [&directory](const std::string& service,
                                   const std::string& hall) {
    return IdsOf(wg::ServingEndpoints(directory, service, hall)) ==
           WalkServing(directory, service, hall);
  };
  for (int service = 0; service < Services; ++service) {
    const std::string name = absl::StrCat("svc", service);
    CHECK(isSame(name, ""));
    CHECK(isSame(name, "h1"));
    CHECK(isSame(name, "h9"));
    int present = 0;
    for (const auto& [hall, number] : wg::CountByHall(directory, name)) {
      present += number;
    }
    const auto counted =
      std::count_if(directory.endpoints.begin(), directory.endpoints.end(),
                    [&name](const auto& pair) {
                      return pair.second.service == name &&
                             !pair.second.overtaken &&
                             pair.second.state != Registration::GONE;
                    });
    CHECK(present == counted);
  }
  now += absl::Minutes(4);
  wg::ForgetEnded(directory, now);
  CHECK(isSame("svc0", ""));
  CHECK(wg::FindByAddress(directory, "10.99.0.1:80") != nullptr);
  CHECK(directory.index.entries.size() == directory.endpoints.size());
}

TEST_CASE("Any endpoint of a hall can be drawn without a walk over all")
{
  for (const int count : { 10000, 20000 }) {
    wg::Directory directory;
    Fill(directory, count, 100);
    std::set<std::string> drawn;
    const std::size_t inHall = wg::CountInHall(directory.index, "h3");
    REQUIRE(inHall == static_cast<std::size_t>(count / Halls));
    for (std::size_t place = 0; place < inHall; ++place) {
      const wg::DirectoryEndpoint& endpoint =
        wg::EndpointInHall(directory.index, "h3", place);
      CHECK(endpoint.hall == "h3");
      drawn.insert(endpoint.id);
    }
    CHECK(drawn.size() == inHall);
    CHECK(wg::CountInHall(directory.index, "none") == 0);
  }
}

TEST_CASE("A choice for a hall's pool looks at the hall's engines alone")
{
  wg::Directory directory;
  Fill(directory, 20000, 4);
  const auto pool = wg::ServingEndpoints(directory, "svc0", "h2");
  CHECK(pool.size() == 20000 / Halls / Services);
  const auto sound = wg::SoundEndpoints(directory, "svc0", absl::Seconds(9),
                                        wg::Sender::AnyBox, "h2");
  CHECK(sound == pool);
  // All of the hall fail here while other halls serve: none is chosen there.
  for (wg::DirectoryEndpoint* endpoint : pool) {
    endpoint->avoidUntil = absl::Seconds(20);
  }
  CHECK(wg::SoundEndpoints(directory, "svc0", absl::Seconds(9),
                           wg::Sender::AnyBox, "h2")
          .empty());
}
