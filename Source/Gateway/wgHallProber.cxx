// SPDX-License-Identifier: Apache-2.0
#include "wgHallProber.h"

#include <algorithm>
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
/** With half of all endpoints down, one trial in 64 finds none of six. */
constexpr std::size_t TrialProbes = 6;
/** At each period while no endpoint is reached. */
constexpr std::size_t IsolatedProbes = 2;
/** The same of endpoints that other boxes reach. */
constexpr std::size_t LostProbes = 4;

} // namespace

HallProber::HallProber(EventLoop& loop, Directory& directory, DecisionLog& log,
                       OnCut onCut)
  : loop_(loop)
  , directory_(directory)
  , log_(log)
  , onCut_(std::move(onCut))
  , timer_(loop)
  , onPath_([](bool) {})
  , onUnreached_([](const std::string&) {})
  , onRegained_([](const std::string&) {})
  , onHanging_([](const std::string&) {})
{
}

void HallProber::Tried(const DirectoryEndpoint& endpoint, ConnectResult result)
{
  if (result == ConnectResult::Connected) {
    NotePath();
    Reached(endpoint);
    NoteRegained(endpoint);
    return;
  }
  if (directory_.reach.isIsolated) {
    return;
  }
  const bool hangs = result == ConnectResult::NoAnswer;
  if (hangs && !IsPathLost(directory_.reach, endpoint.id)) {
    Unreached(endpoint);
  }
  if (NoteEndpointUnreached(directory_.reach, endpoint.id, hangs,
                            ElapsedNow())) {
    onUnreached_(endpoint.id);
  }
  if (NoteConnectFailed(directory_.reach, endpoint.id, ElapsedNow())) {
    ConfirmPath(nullptr);
  }
}

void HallProber::NoteRegained(const DirectoryEndpoint& endpoint)
{
  if (NoteEndpointReached(directory_.reach, endpoint.id)) {
    onRegained_(endpoint.id);
    for (const std::string& lost : LostEndpoints(directory_.reach)) {
      ProbeLost(lost); // most come back together
    }
  }
}

void HallProber::WatchLost(const std::string& endpoint)
{
  ProbeLost(endpoint);
  Arm();
}

void HallProber::ProbeLost(const std::string& endpoint)
{
  const DirectoryEndpoint* known = FindEndpoint(directory_, endpoint);
  if (known == nullptr || !IsCurrent(*known)) {
    NoteEndpointReached(directory_.reach, endpoint); // it has left
    return;
  }
  ProbeAddress(loop_, RouteTo(directory_.routes, known->address),
               [this, endpoint](ConnectResult result) {
                 const DirectoryEndpoint* tried =
                   FindEndpoint(directory_, endpoint);
                 if (tried == nullptr) {
                   return;
                 }
                 if (result == ConnectResult::Connected) {
                   Tried(*tried, result);
                 } else if (result == ConnectResult::NoAnswer &&
                            ConfirmHang(directory_.reach, endpoint)) {
                   onHanging_(endpoint);
                 }
               });
}

/** \return whether any path is lost */
bool HallProber::ProbeLostEndpoints()
{
  std::vector<std::string> lost = LostEndpoints(directory_.reach);
  const bool isAnyLost = !lost.empty();
  std::shuffle(lost.begin(), lost.end(), random_);
  lost.resize(std::min(lost.size(), LostProbes));
  for (const std::string& endpoint : lost) {
    ProbeLost(endpoint);
  }
  return isAnyLost;
}

void HallProber::NotePath()
{
  NoteConnected(directory_.reach);
  if (directory_.reach.isIsolated && EndIsolation(directory_.reach)) {
    log_.Write(LogWeight::Notable, "path_regained", nlohmann::json::object());
    onPath_(true);
  }
}

/** Endpoints of all halls in turn, drawn at random in each. */
std::vector<const DirectoryEndpoint*> HallProber::Sample(std::size_t most)
{
  std::vector<std::pair<std::string, std::size_t>> halls;
  for (const auto& [hall, evidence] : directory_.reach.halls) {
    const std::size_t count = CountInHall(directory_.index, hall);
    if (count > 0) {
      halls.emplace_back(hall, absl::Uniform<std::size_t>(random_, 0, count));
    }
  }
  std::vector<const DirectoryEndpoint*> sample;
  bool isAnyLeft = !halls.empty();
  for (std::size_t round = 0; isAnyLeft && sample.size() < most; ++round) {
    isAnyLeft = false;
    for (const auto& [hall, first] : halls) {
      const std::size_t count = CountInHall(directory_.index, hall);
      if (round >= count || sample.size() >= most) {
        continue;
      }
      isAnyLeft = true;
      const DirectoryEndpoint& endpoint =
        EndpointInHall(directory_.index, hall, (first + round) % count);
      if (IsCurrent(endpoint)) {
        sample.push_back(&endpoint);
      }
    }
  }
  return sample;
}

void HallProber::ConfirmPath(OnPath done)
{
  if (done) {
    awaitTrial_.push_back(std::move(done));
  }
  if (trialOpen_ > 0) {
    return;
  }
  const auto sample = Sample(TrialProbes);
  trial_ = {};
  trialOpen_ = static_cast<int>(sample.size());
  const std::uint64_t number = ++trialNumber_;
  for (const DirectoryEndpoint* endpoint : sample) {
    ProbeAddress(loop_, RouteTo(directory_.routes, endpoint->address),
                 [this, number](ConnectResult result) {
                   if (number == trialNumber_ && trialOpen_ > 0) {
                     TakeTried(result);
                   }
                 });
  }
  if (sample.empty()) {
    SettleTrial(true);
  }
}

void HallProber::TakeTried(ConnectResult result)
{
  --trialOpen_;
  ++trial_.tried;
  trial_.refused += result == ConnectResult::Refused ? 1 : 0;
  trial_.unanswered += result == ConnectResult::NoAnswer ? 1 : 0;
  if (result == ConnectResult::Connected) {
    NotePath();
    SettleTrial(true);
  } else if (trialOpen_ == 0) {
    const bool hasPath = !ShowsNoPath(trial_);
    if (!hasPath && Isolate(directory_.reach)) {
      log_.Write(LogWeight::Notable, "path_lost",
                 { { "refused", trial_.refused },
                   { "unanswered", trial_.unanswered } });
      Arm();
      onPath_(false);
    }
    SettleTrial(hasPath);
  }
}

void HallProber::SettleTrial(bool hasPath)
{
  trialOpen_ = 0;
  for (const OnPath& done : std::exchange(awaitTrial_, {})) {
    done(hasPath);
  }
}

void HallProber::ProbeIsolated()
{
  for (const DirectoryEndpoint* endpoint : Sample(IsolatedProbes)) {
    ProbeAddress(loop_, RouteTo(directory_.routes, endpoint->address),
                 [this](ConnectResult result) {
                   if (result == ConnectResult::Connected) {
                     NotePath();
                   }
                 });
  }
  Arm();
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
                 [this, id = endpoint.id](ConnectResult result) {
                   TakeSuspected(id, result);
                 });
  }
}

void HallProber::TakeSuspected(const std::string& endpoint,
                               ConnectResult result)
{
  const DirectoryEndpoint* probed = FindEndpoint(directory_, endpoint);
  if (probed == nullptr) {
    return;
  }
  // A connection may be refused by what cuts the hall off.
  if (result == ConnectResult::NoAnswer) {
    Unreached(*probed);
  } else if (result == ConnectResult::Connected) {
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
  if (directory_.reach.isIsolated) {
    ProbeIsolated();
    return;
  }
  bool isAnyLost = ProbeLostEndpoints();
  for (const auto& [hall, evidence] : directory_.reach.halls) {
    const std::size_t count =
      evidence.isCut ? CountInHall(directory_.index, hall) : 0;
    if (count == 0) {
      continue;
    }
    isAnyLost = true;
    const std::size_t drawn = absl::Uniform<std::size_t>(random_, 0, count);
    const DirectoryEndpoint& endpoint =
      EndpointInHall(directory_.index, hall, drawn);
    if (IsCurrent(endpoint)) {
      Connect(endpoint);
    }
  }
  if (isAnyLost) {
    Arm();
  }
}

void HallProber::Connect(const DirectoryEndpoint& endpoint)
{
  ProbeAddress(
    loop_, RouteTo(directory_.routes, endpoint.address),
    [this, id = endpoint.id](ConnectResult result) {
      const DirectoryEndpoint* reached = FindEndpoint(directory_, id);
      if (result == ConnectResult::Connected && reached != nullptr) {
        NoteConnected(directory_.reach);
        Reached(*reached);
      }
    });
}

} // namespace wg
