// SPDX-License-Identifier: Apache-2.0
#include "wgHallProber.h"

#include <chrono>
#include <utility>

#include "absl/random/distributions.h"

namespace wg {
namespace {

constexpr auto ProbePeriod = std::chrono::milliseconds(250);
/** Each control box that is followed tells of the same loss. */
constexpr absl::Duration SuspectPeriod = absl::Seconds(1);
/** As many as show that a hall is cut off, see NoteUnreached. */
constexpr std::size_t SuspectProbes = 2;

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

void HallProber::Suspect(const std::string& hall)
{
  const std::size_t count = CountInHall(directory_.index, hall);
  const Elapsed now = ElapsedNow();
  auto [last, isFirst] = suspected_.try_emplace(hall, now);
  const bool isAsked = !isFirst && now - last->second < SuspectPeriod;
  if (isAsked || count < SuspectProbes || hall == directory_.reach.own ||
      IsCutOff(directory_.reach, hall)) {
    return;
  }
  last->second = now;
  log_.Write(LogWeight::Notable, "hall_suspected", { { "hall", hall } });
  const std::size_t first = absl::Uniform<std::size_t>(random_, 0, count);
  const std::size_t step = absl::Uniform<std::size_t>(random_, 1, count);
  for (const std::size_t place : { first, (first + step) % count }) {
    const DirectoryEndpoint& endpoint =
      EndpointInHall(directory_.index, hall, place);
    ProbeAddress(loop_, RouteTo(directory_.routes, endpoint.address),
                 [this, id = endpoint.id](ProbeResult result) {
                   TakeSuspected(id, result);
                 });
  }
}

void HallProber::TakeSuspected(const std::string& endpoint, ProbeResult result)
{
  const DirectoryEndpoint* probed = FindEndpoint(directory_, endpoint);
  if (probed == nullptr) {
    return;
  }
  // A connection may be refused by what cuts the hall off.
  if (result == ProbeResult::NoAnswer) {
    Unreached(*probed);
  } else if (result == ProbeResult::Connected) {
    Reached(*probed);
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
  ProbeAddress(loop_, RouteTo(directory_.routes, endpoint.address),
               [this, id = endpoint.id](ProbeResult result) {
                 const DirectoryEndpoint* reached =
                   FindEndpoint(directory_, id);
                 if (result == ProbeResult::Connected && reached != nullptr) {
                   Reached(*reached);
                 }
               });
}

} // namespace wg
