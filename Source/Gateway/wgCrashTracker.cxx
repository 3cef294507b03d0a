// SPDX-License-Identifier: Apache-2.0
#include "wgCrashTracker.h"

#include <utility>

#include <boost/asio/post.hpp>

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
  return { crash.request(), crash.endpoint() };
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
  for (const std::string& request : ended.requests) {
    wire::Crash crash;
    crash.set_request(request);
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
  if (!NoteAnswered(evidence_, fingerprint)) {
    return;
  }
  metrics_.Count("suspicions_outweighed");
  const Elapsed now = ElapsedNow();
  for (auto it =
         evidence_.records.lower_bound({ std::string(fingerprint), "" });
       it != evidence_.records.end() && it->first.request == fingerprint;
       ++it) {
    tellFrom_[it->first] = now;
  }
  NoteChanges();
  TellAll();
}

/** One line for each request that is kept away from endpoints from now on, or
 * no longer.
 */
void CrashTracker::NoteChanges()
{
  for (const std::string& request : evidence_.quarantined) {
    if (!logged_.insert(request).second) {
      continue;
    }
    nlohmann::json endpoints = nlohmann::json::array();
    for (auto it = evidence_.records.lower_bound({ request, "" });
         it != evidence_.records.end() && it->first.request == request; ++it) {
      endpoints.push_back(it->first.endpoint);
    }
    metrics_.Count("requests_quarantined");
    log_.Write(LogWeight::Notable, "request_quarantined",
               { { "fingerprint", PrintFingerprint(request) },
                 { "endpoints", std::move(endpoints) } });
  }
  for (auto it = logged_.begin(); it != logged_.end();) {
    const auto current = it++;
    if (!IsQuarantined(evidence_, *current)) {
      log_.Write(LogWeight::Notable, "request_released",
                 { { "fingerprint", PrintFingerprint(*current) } });
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
