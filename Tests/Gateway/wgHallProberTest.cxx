// SPDX-License-Identifier: Apache-2.0
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include "wgHallProber.h"
#include "wgLoopThread.h"

namespace {

namespace asio = boost::asio;
using Registration = wg::wire::Registration;

constexpr absl::Duration Patience = absl::Seconds(10);

/** A hall that was cut off, with one endpoint that listens. */
class CutHall
{
public:
  CutHall()
  {
    thread_.Do([this] {
      directory_.reach.own = "h1";
      Tell(Registration::READY);
      const wg::DirectoryEndpoint& endpoint =
        *wg::FindEndpoint(directory_, "e");
      prober_.Unreached(endpoint);
      wg::DirectoryEndpoint another = endpoint;
      another.id = "another";
      prober_.Unreached(another);
    });
  }
  ~CutHall() { thread_.Join(); }
  bool IsCut()
  {
    return thread_.Do([this] { return IsCutOff(directory_.reach, "h2"); });
  }
  void Say(Registration::State state)
  {
    thread_.Do([this, state] { Tell(state); });
  }

private:
  void Tell(Registration::State state)
  {
    Registration told;
    told.set_endpoint("e");
    told.set_service("svc");
    told.set_hall("h2");
    told.set_address(
      absl::StrCat("127.0.0.1:", listener_.local_endpoint().port()));
    told.set_state(state);
    told.set_sequence(++sequence_);
    wg::MergeRegistration(directory_, told, wg::ElapsedNow());
  }

  asio::io_context listenerLoop_;
  asio::ip::tcp::acceptor listener_{ listenerLoop_,
                                     { asio::ip::make_address("127.0.0.1"),
                                       0 } };
  wg::LoopThread thread_;
  wg::Directory directory_;
  wg::DecisionLog log_{ "box", "gateway" };
  wg::HallProber prober_{ thread_.Loop(), directory_, log_,
                          [](const std::string&) {} };
  std::uint64_t sequence_ = 0;
};

bool IsBackInTime(CutHall& hall)
{
  const absl::Time until = absl::Now() + Patience;
  while (hall.IsCut() && absl::Now() < until) {
    absl::SleepFor(absl::Milliseconds(20));
  }
  return !hall.IsCut();
}

} // namespace

TEST_CASE("A hall that answers again is no longer cut off")
{
  CutHall hall;
  CHECK(IsBackInTime(hall));
}

TEST_CASE("A hall without an endpoint that serves is probed once it has one")
{
  CutHall hall;
  hall.Say(Registration::SILENT);
  absl::SleepFor(absl::Seconds(1)); // several periods of the prober
  CHECK(hall.IsCut());
  hall.Say(Registration::READY);
  CHECK(IsBackInTime(hall));
}
