// SPDX-License-Identifier: Apache-2.0
#include "wgHallProber.h"

#include <chrono>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "absl/random/distributions.h"

#include "wgSocketAddress.h"

namespace wg {
namespace {

using boost::asio::ip::tcp;

constexpr auto ProbePeriod = std::chrono::milliseconds(250);
constexpr auto ProbeTimeout = std::chrono::milliseconds(200);

/** A connection that is tried, and the time that it may take. */
struct ProbeConnection
{
  explicit ProbeConnection(EventLoop& loop)
    : socket(loop)
    , timer(loop)
  {
  }
  tcp::socket socket;
  boost::asio::steady_timer timer;
};

} // namespace

HallProber::HallProber(EventLoop& loop, Directory& directory, DecisionLog& log,
                       OnCut onCut)
  : loop_(loop)
  , directory_(directory)
  , log_(log)
  , onCut_(std::move(onCut))
  , timer_(loop)
{
}

void HallProber::Reached(const DirectoryEndpoint& endpoint)
{
  if (NoteReached(directory_.reach, endpoint.hall)) {
    log_.Write(LogWeight::Notable, "hall_reached",
               { { "hall", endpoint.hall }, { "endpoint", endpoint.id } });
  }
}

void HallProber::Unreached(const DirectoryEndpoint& endpoint)
{
  const std::string id = endpoint.id;
  const auto cut =
    NoteUnreached(directory_.reach, endpoint.hall, id, ElapsedNow());
  for (const std::string& hall : cut) {
    log_.Write(LogWeight::Notable, "hall_cut_off",
               { { "hall", hall }, { "endpoint", id } });
    Arm();
    onCut_(hall);
  }
}

void HallProber::Arm()
{
  if (std::exchange(armed_, true)) {
    return;
  }
  timer_.expires_after(ProbePeriod);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      armed_ = false;
      Probe();
    }
  });
}

/** One endpoint of each hall that is cut off, another each time. */
void HallProber::Probe()
{
  std::map<std::string, std::vector<const DirectoryEndpoint*>> candidates;
  for (const auto& [id, endpoint] : directory_.endpoints) {
    const bool asked =
      IsCutOff(directory_.reach, endpoint.hall) && TakesNewWork(endpoint);
    if (asked) {
      candidates[endpoint.hall].push_back(&endpoint);
    }
  }
  for (const auto& [hall, endpoints] : candidates) {
    const std::size_t drawn =
      absl::Uniform<std::size_t>(random_, 0, endpoints.size());
    Connect(*endpoints[drawn]);
  }
  if (!candidates.empty()) {
    Arm();
  }
}

void HallProber::Connect(const DirectoryEndpoint& endpoint)
{
  const Outcome<tcp::endpoint> address = ParseTcpEndpoint(endpoint.address);
  if (!Succeeded(address)) {
    return;
  }
  auto probe = std::make_shared<ProbeConnection>(loop_);
  probe->timer.expires_after(ProbeTimeout);
  probe->timer.async_wait([probe](boost::system::error_code error) {
    if (!error) {
      boost::system::error_code ignored;
      probe->socket.close(ignored);
    }
  });
  probe->socket.async_connect(
    Value(address),
    [this, probe, id = endpoint.id](boost::system::error_code error) {
      probe->timer.cancel();
      const DirectoryEndpoint* reached = FindEndpoint(directory_, id);
      if (!error && reached != nullptr) {
        Reached(*reached);
      }
    });
}

} // namespace wg
