// SPDX-License-Identifier: Apache-2.0
#include "wgCrashTracker.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include "absl/random/distributions.h"

#include <nlohmann/json.hpp>

#include "wgRequestFingerprint.h"

namespace wg {
namespace {

/** What another box noted is told to a control box that lacks it only after
 * this time: its own message mostly arrives within some milliseconds, and 295
 * boxes would repeat it.
 */
constexpr absl::Duration RelayAfter = absl::Seconds(2);
constexpr absl::Duration TellTimeout = absl::Milliseconds(800);
/** Some 20 kB, 16 ms of a link of 10 Mbit/s. */
constexpr int MaxCrashesInCall = 200;
constexpr absl::Duration ForgetPeriod = absl::Seconds(1);

CrashKey KeyOf(const wire::Crash& crash)
{
  return { { crash.cause(), crash.request() }, crash.endpoint() };
}

} // namespace

CrashTracker::CrashTracker(EventLoop& loop, Directory& directory,
                           DecisionLog& log, GatewayMetrics& metrics)
  : loop_(loop)
  , log_(log)
  , metrics_(metrics)
  , watch_(loop, directory, log, metrics,
           [this](const EndedEndpoint& ended) { OnEnded(ended); })
{
}

void CrashTracker::OnEnded(const EndedEndpoint& ended)
{
  const Elapsed now = ElapsedNow();
  for (const CrashSuspect& suspect : ended.suspects) {
    wire::Crash crash;
    crash.set_request(suspect.name);
    crash.set_cause(suspect.cause);
    crash.set_endpoint(ended.id);
    if (MergeCrash(evidence_, crash, now)) {
      tellFrom_[KeyOf(crash)] = now;
    }
  }
  NoteChanges();
  TellAll();
}

void CrashTracker::Answered(absl::string_view fingerprint)
{
  const CrashSuspect request = RequestSuspect(fingerprint);
  if (CountedEnds(evidence_, request) > 0) {
    const Elapsed now = ElapsedNow();
    NoteAnswered(evidence_, request, now);
    NoteOutweighed(request, now);
    TellOutweighed();
  }
}

void CrashTracker::PartsAnswered(absl::Span<const CrashSuspect> parts)
{
  const Elapsed now = ElapsedNow();
  bool isChanged = false;
  for (const CrashSuspect& part : parts) {
    const double draw = absl::Uniform<double>(random_, 0.0, 1.0);
    if (NotePartAnswered(evidence_, part, draw, now)) {
      NoteOutweighed(part, now);
      isChanged = true;
    }
  }
  if (isChanged) {
    TellOutweighed();
  }
}

void CrashTracker::NoteOutweighed(const CrashSuspect& suspect, Elapsed now)
{
  metrics_.Count("suspicions_outweighed");
  for (auto it = evidence_.records.lower_bound({ suspect, "" });
       it != evidence_.records.end() && it->first.suspect == suspect; ++it) {
    tellFrom_[it->first] = now;
  }
}

void CrashTracker::TellOutweighed()
{
  NoteChanges();
  TellAll();
}

bool CrashTracker::AreKeptAway(absl::Span<const CrashSuspect> parts) const
{
  return std::any_of(parts.begin(), parts.end(),
                     [this](const CrashSuspect& part) {
                       return IsQuarantined(evidence_, part);
                     });
}

std::size_t CrashTracker::KeptAway(wire::CrashCause cause) const
{
  const auto& suspects = evidence_.quarantined;
  return static_cast<std::size_t>(std::count_if(
    suspects.begin(), suspects.end(),
    [cause](const CrashSuspect& suspect) { return suspect.cause == cause; }));
}

/** One line for each suspect that is kept away from endpoints from now on, or
 * no longer.
 */
void CrashTracker::NoteChanges()
{
  for (const CrashSuspect& suspect : evidence_.quarantined) {
    if (!logged_.insert(suspect).second) {
      continue;
    }
    nlohmann::json endpoints = nlohmann::json::array();
    for (auto it = evidence_.records.lower_bound({ suspect, "" });
         it != evidence_.records.end() && it->first.suspect == suspect; ++it) {
      endpoints.push_back(it->first.endpoint);
    }
    const bool isPart = suspect.cause == wire::PROMPT_PART;
    metrics_.Count(isPart ? "parts_quarantined" : "requests_quarantined");
    log_.Write(LogWeight::Notable,
               isPart ? "part_quarantined" : "request_quarantined",
               { { isPart ? "part" : "fingerprint", PrintSuspect(suspect) },
                 { "endpoints", std::move(endpoints) } });
  }
  for (auto it = logged_.begin(); it != logged_.end();) {
    const auto current = it++;
    if (!IsQuarantined(evidence_, *current)) {
      const bool isPart = current->cause == wire::PROMPT_PART;
      log_.Write(
        LogWeight::Notable, isPart ? "part_released" : "request_released",
        { { isPart ? "part" : "fingerprint", PrintSuspect(*current) } });
      logged_.erase(current);
    }
  }
}

void CrashTracker::TakeReply(const std::string& control,
                             const wire::FollowReply& reply)
{
  const Elapsed now = ElapsedNow();
  Control& teller = controls_[control];
  if (std::exchange(teller.incarnation, reply.registry()) !=
      reply.registry()) {
    teller.known.clear();
  }
  for (const wire::Crash& crash : reply.crashes()) {
    const CrashKey key = KeyOf(crash);
    teller.known[key] = crash.outweighed();
    if (MergeCrash(evidence_, crash, now)) {
      tellFrom_.try_emplace(key, now + RelayAfter);
    }
  }
  Forget();
  NoteChanges();
  Tell(control);
}

void CrashTracker::Forget()
{
  const Elapsed now = ElapsedNow();
  if (now < forgetFrom_) {
    return;
  }
  forgetFrom_ = now + ForgetPeriod;
  ExpireCrashes(evidence_, now);
  const auto forgetIn = [this](auto& table) {
    for (auto it = table.begin(); it != table.end();) {
      const auto current = it++;
      if (evidence_.records.count(current->first) == 0) {
        table.erase(current);
      }
    }
  };
  forgetIn(tellFrom_);
  for (auto& [address, control] : controls_) {
    forgetIn(control.known);
  }
}

wire::Crashes CrashTracker::NewsFor(const Control& control) const
{
  const Elapsed now = ElapsedNow();
  wire::Crashes news;
  for (const auto& [key, from] : tellFrom_) {
    const auto record = evidence_.records.find(key);
    if (from > now || record == evidence_.records.end()) {
      continue;
    }
    const auto known = control.known.find(key);
    const bool lacks = known == control.known.end() ||
                       (record->second.outweighed && !known->second);
    if (lacks && news.crashes_size() < MaxCrashesInCall) {
      *news.add_crashes() = MakeCrashMessage(key, record->second, now);
    }
  }
  return news;
}

void CrashTracker::TellAll()
{
  for (const auto& [address, control] : controls_) {
    Tell(address);
  }
}

/** One call at a time to each; what comes meanwhile goes with the next one. */
void CrashTracker::Tell(const std::string& address)
{
  Control& control = controls_[address];
  if (control.isCalled || peers_ == nullptr) {
    return;
  }
  wire::Crashes news = NewsFor(control);
  if (news.crashes_size() == 0) {
    return;
  }
  control.isCalled = true;
  const std::string body = news.SerializeAsString();
  peers_->Call(address, "/crashes", body, TellTimeout,
               [this, address, incarnation = control.incarnation,
                news = std::move(news)](const Outcome<std::string>& reply) {
                 wire::CrashesReply answer;
                 const bool taken = Succeeded(reply) &&
                                    answer.ParseFromString(Value(reply)) &&
                                    answer.taken();
                 boost::asio::post(loop_,
                                   [this, address, incarnation, news, taken] {
                                     OnTold(address, incarnation, news, taken);
                                   });
               });
}

/** A call that was lost is made again after the next reply to the follower;
 * one to an earlier start of the control box tells nothing of this one.
 */
void CrashTracker::OnTold(const std::string& address,
                          std::uint64_t incarnation, const wire::Crashes& told,
                          bool taken)
{
  Control& control = controls_[address];
  control.isCalled = false;
  if (!taken || control.incarnation != incarnation) {
    metrics_.Count("crashes_not_told");
    return;
  }
  for (const wire::Crash& crash : told.crashes()) {
    control.known[KeyOf(crash)] |= crash.outweighed();
  }
  Tell(address);
}

} // namespace wg
