// SPDX-License-Identifier: Apache-2.0
#include <list>
#include <string>
#include <vector>

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
  explicit CutHall(Registration::State state)
  {
    thread_.Do([this, state] {
      directory_.reach.own = "h1";
      Tell(state);
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
  CutHall hall(Registration::READY);
  CHECK(IsBackInTime(hall));
}

TEST_CASE("A hall without an endpoint that serves is probed once it has one")
{
  CutHall hall(Registration::SILENT);
  absl::SleepFor(absl::Seconds(1)); // several periods of the prober
  CHECK(hall.IsCut());
  hall.Say(Registration::READY);
  CHECK(IsBackInTime(hall));
}

namespace {

/** Listens at an address whose connections are never taken: once its queue is
 * full, it does not answer.
 */
class SilentAddress
{
public:
  SilentAddress()
  {
    acceptor_.open(asio::ip::tcp::v4());
    acceptor_.bind({ asio::ip::make_address("127.0.0.1"), 0 });
    acceptor_.listen(0);
    constexpr int enough = 4;
    for (int i = 0; i < enough; ++i) {
      queued_.emplace_back(loop_);
      asio::ip::tcp::socket& socket = queued_.back();
      socket.open(asio::ip::tcp::v4());
      socket.async_connect(acceptor_.local_endpoint(),
                           [](boost::system::error_code) {});
    }
  }
  std::string Text() const
  {
    return absl::StrCat("127.0.0.1:", acceptor_.local_endpoint().port());
  }

private:
  asio::io_context loop_;
  asio::ip::tcp::acceptor acceptor_{ loop_ };
  std::list<asio::ip::tcp::socket> queued_;
};

/** A box that has sent nothing to the two endpoints of another hall. */
class QuietBox
{
public:
  explicit QuietBox(const std::vector<std::string>& addresses)
  {
    thread_.Do([&] {
      directory_.reach.own = "h1";
      for (const std::string& address : addresses) {
        Registration told;
        told.set_endpoint(absl::StrCat("e", directory_.endpoints.size()));
        told.set_service("svc");
        told.set_hall("h2");
        told.set_address(address);
        told.set_state(Registration::READY);
        told.set_sequence(1);
        wg::MergeRegistration(directory_, told, wg::ElapsedNow());
      }
    });
  }
  ~QuietBox() { thread_.Join(); }
  void Suspect()
  {
    thread_.Do([this] { prober_.Suspect("h2"); });
  }
  bool IsCut()
  {
    return thread_.Do([this] { return IsCutOff(directory_.reach, "h2"); });
  }

private:
  wg::LoopThread thread_;
  wg::Directory directory_;
  wg::DecisionLog log_{ "box", "gateway" };
  wg::HallProber prober_{ thread_.Loop(), directory_, log_,
                          [](const std::string&) {} };
};

} // namespace

TEST_CASE("A box that sends little finds a suspected hall cut off")
{
  const SilentAddress first;
  const SilentAddress second;
  QuietBox box({ first.Text(), second.Text() });
  box.Suspect();
  const absl::Time until = absl::Now() + Patience;
  while (!box.IsCut() && absl::Now() < until) {
    absl::SleepFor(absl::Milliseconds(20));
  }
  CHECK(box.IsCut());
}

TEST_CASE("A suspected hall of which an endpoint answers is not cut off")
{
  const SilentAddress silent;
  asio::io_context loop;
  const asio::ip::tcp::acceptor listens(
    loop, { asio::ip::make_address("127.0.0.1"), 0 });
  QuietBox box(
    { silent.Text(),
      absl::StrCat("127.0.0.1:", listens.local_endpoint().port()) });
  box.Suspect();
  absl::SleepFor(absl::Seconds(1)); // longer than the connections may take
  CHECK_FALSE(box.IsCut());
}
