// SPDX-License-Identifier: Apache-2.0
#include "wgHallProber.h"

#include <chrono>
#include <utility>

#include "absl/random/distributions.h"

#include "wgConnectionProbe.h"

namespace wg {
namespace {

constexpr auto ProbePeriod = std::chrono::milliseconds(250);

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
  bool isAnyCut = false;
  for (const auto& [hall, evidence] : directory_.reach.halls) {
    const std::size_t count =
      evidence.isCut ? CountInHall(directory_.index, hall) : 0;
    if (count == 0) {
      continue;
    }
    isAnyCut = true;
    const std::size_t drawn = absl::Uniform<std::size_t>(random_, 0, count);
    const DirectoryEndpoint& endpoint =
      EndpointInHall(directory_.index, hall, drawn);
    if (IsCurrent(endpoint)) {
      Connect(endpoint);
    }
  }
  if (isAnyCut) {
    Arm();
  }
}

void HallProber::Connect(const DirectoryEndpoint& endpoint)
{
  ProbeAddress(
    loop_, endpoint.address, [this, id = endpoint.id](ProbeResult result) {
      const DirectoryEndpoint* reached = FindEndpoint(directory_, id);
      if (result == ProbeResult::Connected && reached != nullptr) {
        Reached(*reached);
      }
    });
}

} // namespace wg
