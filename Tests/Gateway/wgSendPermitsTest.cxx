// SPDX-License-Identifier: Apache-2.0
#include <string>

#include <catch2/catch.hpp>

#include "absl/time/clock.h"

#include "wgSendPermits.h"

namespace {

void Register(wg::Directory& directory, const std::string& name,
              std::int64_t bornMs, std::uint64_t sequence)
{
  wg::wire::Registration news;
  news.set_endpoint(name);
  news.set_service("svc");
  news.set_address("127.0.0.1:1");
  news.set_hall("h");
  news.set_state(wg::wire::Registration::READY);
  news.set_sequence(sequence);
  news.set_born_ms(bornMs);
  MergeRegistration(directory, news, wg::ElapsedNow());
}

/** A box that hands out all by itself. */
struct OneBox
{
  OneBox() { Register(directory, "e", 0, 1); }

  wg::wire::SendAsk Ask(double perSecond, std::int64_t ageMs = 0) const
  {
    wg::wire::SendAsk ask;
    ask.mutable_limit()->set_endpoint("e");
    ask.mutable_limit()->set_is_limited(perSecond >= 0.0);
    ask.mutable_limit()->set_per_second(perSecond);
    ask.mutable_limit()->set_age_ms(ageMs);
    ask.set_service("svc");
    return ask;
  }

  wg::EventLoop loop;
  wg::Directory directory;
  wg::Dialect dialect;
  wg::GatewayMetrics metrics;
  wg::DecisionLog log{ "box", "gateway" };
  wg::TermsTracker terms{ directory, dialect, metrics, log };
  wg::SendPermits permits{ loop, directory, terms, metrics, log };
};

} // namespace

TEST_CASE("A limit that only the box that asks was told is heeded")
{
  OneBox box;
  const auto first = box.permits.Grant(box.Ask(2.0));
  CHECK_FALSE(first.granted());
  CHECK(first.wait_ms() > 0);
  CHECK(static_cast<double>(first.wait_ms()) <=
        1000.0 / (2.0 * wg::SettledFraction));
  CHECK(first.limit().is_limited());
  CHECK(first.limit().per_second() == 2.0);
  absl::SleepFor(absl::Milliseconds(first.wait_ms() + 5));
  CHECK(box.permits.Grant(box.Ask(2.0)).granted());
  CHECK_FALSE(box.permits.Grant(box.Ask(2.0)).granted());
}

TEST_CASE("A box that has not heard that a limit ended is told so")
{
  OneBox box;
  box.permits.Grant(box.Ask(2.0, 1000));
  box.permits.TakeNews(box.Ask(-1.0).limit());
  const auto answer = box.permits.Grant(box.Ask(2.0, 900));
  CHECK(answer.granted());
  CHECK_FALSE(answer.limit().is_limited());
}

TEST_CASE("A new start of an endpoint has no limit")
{
  OneBox box;
  Register(box.directory, "s", 1000, 1);
  wg::wire::EndpointLimit limit = box.Ask(1.0).limit();
  limit.set_endpoint("s@1000");
  box.permits.TakeNews(limit);
  const wg::StagePoolKey pool{ "svc", "" };
  REQUIRE(wg::FindEndpoint(box.directory, "s@1000") != nullptr);
  CHECK_FALSE(
    box.permits.IsFree(*wg::FindEndpoint(box.directory, "s@1000"), pool));
  Register(box.directory, "s", 2000, 1);
  CHECK(box.permits.IsFree(*wg::FindEndpoint(box.directory, "s@2000"), pool));
}

TEST_CASE("What was denied under a limit is held back once the limit changes")
{
  OneBox box;
  box.permits.TakeNews(box.Ask(0.0).limit());
  wg::DirectoryEndpoint& endpoint = *wg::FindEndpoint(box.directory, "e");
  bool isGranted = true;
  box.permits.Ask(endpoint, [&](bool granted) { isGranted = granted; });
  box.loop.run();
  REQUIRE_FALSE(isGranted);
  CHECK(endpoint.deniedUntil > wg::ElapsedNow() + absl::Seconds(5));
  SECTION("to another figure")
  {
    box.permits.TakeNews(box.Ask(50.0).limit());
  }
  SECTION("and ends")
  {
    box.permits.TakeNews(box.Ask(-1.0).limit());
  }
  CHECK(endpoint.deniedUntil <= wg::ElapsedNow());
}

TEST_CASE("Nothing is granted to endpoints that are not known")
{
  OneBox box;
  wg::wire::SendAsk ask = box.Ask(1000.0);
  ask.mutable_limit()->set_endpoint("nobody");
  CHECK_FALSE(box.permits.Grant(ask).granted());
}

TEST_CASE("What all boxes have open at a brittle endpoint is bounded")
{
  OneBox box;
  wg::DirectoryEndpoint& endpoint = *wg::FindEndpoint(box.directory, "e");
  endpoint.slots = 3;
  wg::wire::SendAsk ask = box.Ask(-1.0);
  ask.mutable_limit()->set_is_brittle(true);
  ask.mutable_limit()->set_refusals_per_second(2.0);
  const auto from = [&ask](const std::string& name, std::uint32_t open) {
    static std::uint64_t sequence = 0;
    ask.mutable_requests()->set_box(name);
    ask.mutable_requests()->set_open(open);
    ask.mutable_requests()->set_sequence(++sequence);
    return ask;
  };
  CHECK(box.permits.Grant(from("a", 1)).granted());
  CHECK(box.permits.Grant(from("b", 0)).granted());
  const auto denied = box.permits.Grant(from("c", 0));
  CHECK_FALSE(denied.granted());
  CHECK(denied.wait_ms() > 0);
  CHECK(denied.limit().is_brittle());
  wg::wire::OpenReport report;
  report.set_endpoint("e");
  report.set_service("svc");
  *report.mutable_requests() = from("a", 1).requests();
  SECTION("until one of them ends")
  {
    box.permits.TakeReport(report);
    CHECK(box.permits.Grant(from("c", 0)).granted());
  }
  SECTION("and not for a while after a refusal")
  {
    report.mutable_requests()->set_refused(1);
    box.permits.TakeReport(report);
    CHECK_FALSE(box.permits.Grant(from("c", 0)).granted());
  }
  SECTION("until it is brittle no more")
  {
    ask.mutable_limit()->set_is_brittle(false);
    CHECK(box.permits.Grant(from("c", 0)).granted());
  }
}

TEST_CASE("A brittle endpoint that is back is sent all that waits")
{
  // Its first start alone had said that it is brittle.
  OneBox box;
  Register(box.directory, "s", 1000, 1);
  wg::wire::EndpointLimit news = box.Ask(-1.0).limit();
  news.set_endpoint("s@1000");
  news.set_is_brittle(true);
  news.set_refusals_per_second(2.0);
  box.permits.TakeNews(news);
  Register(box.directory, "s", 2000, 1);
  const wg::Elapsed now = wg::ElapsedNow();
  const wg::DirectoryEndpoint* back =
    wg::FindEndpoint(box.directory, "s@2000");
  REQUIRE(back != nullptr);
  CHECK(NeedsPermit(box.directory, *back, now));
  CHECK_FALSE(NeedsPermit(box.directory, *back, now + absl::Minutes(1)));
  news.set_endpoint("s@2000");
  news.set_is_brittle(false);
  box.permits.TakeNews(news); // its first answers do not say so
  CHECK_FALSE(NeedsPermit(box.directory, *back, now));
}

TEST_CASE("A grant for an endpoint that has not answered tells of no limit")
{
  // Boxes took it for the news that the endpoint is not brittle.
  OneBox box;
  wg::wire::SendAsk ask = box.Ask(-1.0, -1);
  const auto answer = box.permits.Grant(ask);
  CHECK(answer.granted());
  CHECK(answer.limit().age_ms() < 0);
  CHECK(wg::FindEndpoint(box.directory, "e")->terms.limitReported ==
        wg::Elapsed());
}
