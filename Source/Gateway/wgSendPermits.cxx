// SPDX-License-Identifier: Apache-2.0
#include "wgSendPermits.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include "wgStageClient.h"

namespace wg {
namespace {

/** As long as a box waits for the choice of an engine. */
constexpr absl::Duration AskTimeout = absl::Milliseconds(80);
constexpr absl::Duration TellTimeout = absl::Milliseconds(300);
/** A limit that changes with each answer is told to others at this period;
 * 295 boxes then get 4 messages of some 60 bytes a second.
 */
constexpr absl::Duration TellPeriod = absl::Milliseconds(250);
/** Between two asks of one box for an endpoint whose requests are used up. */
constexpr absl::Duration LeastDenial = absl::Milliseconds(50);

wire::EndpointLimit DescribeLimit(const DirectoryEndpoint& endpoint)
{
  wire::EndpointLimit limit;
  limit.set_endpoint(endpoint.id);
  limit.set_is_limited(endpoint.terms.perSecond.has_value());
  limit.set_per_second(endpoint.terms.perSecond.value_or(0.0));
  limit.set_age_ms(
    absl::ToInt64Milliseconds(ElapsedNow() - endpoint.terms.limitReported));
  return limit;
}

} // namespace

StagePoolKey PermitPoolOf(const Directory& directory,
                          const DirectoryEndpoint& endpoint)
{
  return ChoosePool(directory, endpoint.service, endpoint.hall, EnginesInHall);
}

SendPermits::SendPermits(EventLoop& loop, Directory& directory,
                         TermsTracker& terms, GatewayMetrics& metrics,
                         DecisionLog& log)
  : loop_(loop)
  , directory_(directory)
  , terms_(terms)
  , metrics_(metrics)
  , log_(log)
{
  terms_.OnAnswer(
    [this](const DirectoryEndpoint& endpoint) { NoteAnswer(endpoint); });
}

void SendPermits::SetPeers(PeerClient& peers, StageClient& members)
{
  peers_ = &peers;
  members_ = &members;
  members.OnMembersChanged([this] { NoteMembers(); });
}

bool SendPermits::IsCoordinator(const StagePoolKey& pool) const
{
  return members_ == nullptr || members_->CoordinatorOf(pool) == nullptr;
}

void SendPermits::NoteMembers()
{
  for (auto& [pool, coordination] : coordinations_) {
    const bool isOwn = IsCoordinator(pool);
    if (isOwn && !coordination.isOwn) {
      coordination.since = ElapsedNow();
    }
    coordination.isOwn = isOwn;
  }
}

/** A box that is asked by one that suspects the coordinator, or has only just
 * become it, does not know what was handed out before.
 */
bool SendPermits::IsSettled(const StagePoolKey& pool)
{
  if (members_ == nullptr) {
    return true;
  }
  auto [found, isNew] = coordinations_.try_emplace(pool);
  Coordination& coordination = found->second;
  if (isNew) {
    coordination = { IsCoordinator(pool), members_->MembersChanged() };
  }
  return coordination.isOwn &&
         ElapsedNow() - coordination.since >= LimitWindow;
}

SendRate SendPermits::RateOf(const DirectoryEndpoint& endpoint,
                             const StagePoolKey& pool)
{
  return { *endpoint.terms.perSecond, IsSettled(pool) };
}

absl::Duration SendPermits::TimeUntilFree(const DirectoryEndpoint& endpoint,
                                          const StagePoolKey& pool)
{
  if (!IsLimited(endpoint)) {
    return absl::ZeroDuration();
  }
  const Elapsed now = ElapsedNow();
  auto [found, isNew] = buckets_.try_emplace(endpoint.id);
  if (isNew) {
    found->second.filled = now;
  }
  return TimeUntilToken(found->second, RateOf(endpoint, pool), now);
}

bool SendPermits::IsFree(const DirectoryEndpoint& endpoint,
                         const StagePoolKey& pool)
{
  return TimeUntilFree(endpoint, pool) <= absl::ZeroDuration();
}

void SendPermits::Take(const DirectoryEndpoint& endpoint,
                       const StagePoolKey& pool)
{
  if (IsLimited(endpoint)) {
    TryTakeToken(buckets_[endpoint.id], RateOf(endpoint, pool), ElapsedNow());
    metrics_.Count("sends_permitted");
  }
}

wire::SendAnswer SendPermits::Grant(const wire::SendAsk& ask)
{
  wire::SendAnswer answer;
  TakeNews(ask.limit());
  DirectoryEndpoint* endpoint =
    FindEndpoint(directory_, ask.limit().endpoint());
  if (endpoint == nullptr) {
    return answer;
  }
  const StagePoolKey pool{ ask.service(), ask.pool_hall() };
  const absl::Duration wait = TimeUntilFree(*endpoint, pool);
  answer.set_granted(wait <= absl::ZeroDuration());
  answer.set_wait_ms(absl::ToInt64Milliseconds(wait));
  *answer.mutable_limit() = DescribeLimit(*endpoint);
  if (answer.granted()) {
    Take(*endpoint, pool);
  }
  return answer;
}

void SendPermits::Ask(const DirectoryEndpoint& endpoint, Answered answered)
{
  const StagePoolKey pool = PermitPoolOf(directory_, endpoint);
  wire::SendAsk ask;
  *ask.mutable_limit() = DescribeLimit(endpoint);
  ask.set_service(pool.service);
  ask.set_pool_hall(pool.hall);
  metrics_.Count("sends_asked");
  const GatewayMember* member =
    members_ == nullptr ? nullptr : members_->CoordinatorOf(pool);
  if (member == nullptr) {
    // Not at once, as if another box were asked.
    boost::asio::post(loop_, [this, ask, answered = std::move(answered)] {
      TakeAnswer(ask.limit().endpoint(), Grant(ask), answered);
    });
    return;
  }
  peers_->Call(
    member->address, "/send", ask.SerializeAsString(), AskTimeout,
    [this, box = member->box, id = endpoint.id,
     answered = std::move(answered)](Outcome<std::string> reply) {
      boost::asio::post(
        loop_, [this, box, id, answered, reply = std::move(reply)] {
          wire::SendAnswer answer;
          if (!Succeeded(reply) || !answer.ParseFromString(Value(reply))) {
            metrics_.Count("send_coordinators_silent");
            members_->Doubt(box);
          }
          const DirectoryEndpoint* known = FindEndpoint(directory_, id);
          if (answer.no_path() && known != nullptr) {
            members_->NoteNoPath(box);
            Ask(*known, answered);
            return;
          }
          TakeAnswer(id, answer, answered);
        });
    });
}

/** Without an answer nothing is sent either. */
void SendPermits::TakeAnswer(const std::string& id,
                             const wire::SendAnswer& answer,
                             const Answered& answered)
{
  TakeNews(answer.limit());
  DirectoryEndpoint* endpoint = FindEndpoint(directory_, id);
  if (endpoint != nullptr && !answer.granted()) {
    const absl::Duration wait =
      std::max(absl::Milliseconds(answer.wait_ms()), LeastDenial);
    endpoint->deniedUntil = ElapsedNow() + wait;
    LogDenial(*endpoint, wait);
  }
  answered(answer.granted());
}

void SendPermits::LogDenial(const DirectoryEndpoint& endpoint,
                            absl::Duration wait)
{
  metrics_.Count("sends_denied");
  log_.Write(LogWeight::Routine, "send_denied",
             { { "endpoint", endpoint.id },
               { "service", endpoint.service },
               { "per_second", endpoint.terms.perSecond.value_or(0.0) },
               { "wait_ms", absl::ToInt64Milliseconds(wait) } });
}

void SendPermits::TakeNews(const wire::EndpointLimit& news)
{
  DirectoryEndpoint* endpoint = FindEndpoint(directory_, news.endpoint());
  if (endpoint == nullptr || news.age_ms() < 0) {
    return;
  }
  const std::optional<double> perSecond =
    news.is_limited() ? std::optional<double>(news.per_second())
                      : std::nullopt;
  const Elapsed told = ElapsedNow() - absl::Milliseconds(news.age_ms());
  if (!terms_.HeardLimit(*endpoint, perSecond, told)) {
    return;
  }
  if (IsCoordinator(PermitPoolOf(directory_, *endpoint))) {
    NoteAnswer(*endpoint);
  } else { // who tells all boxes is known to know it
    told_[endpoint->id] = { perSecond, ElapsedNow() };
  }
}

void SendPermits::ForgetEnded()
{
  const auto forget = [this](auto& entries) {
    for (auto entry = entries.begin(); entry != entries.end();) {
      const bool isOver = FindEndpoint(directory_, entry->first) == nullptr;
      entry = isOver ? entries.erase(entry) : std::next(entry);
    }
  };
  forget(told_);
  forget(buckets_);
}

/** What an endpoint that never had a limit answers costs no look-up. */
void SendPermits::NoteAnswer(const DirectoryEndpoint& endpoint)
{
  if (!IsLimited(endpoint) && told_.empty()) {
    return;
  }
  ToldLimit& told = told_[endpoint.id];
  const Elapsed now = ElapsedNow();
  const bool isChanged = told.perSecond != endpoint.terms.perSecond;
  const bool isDue =
    told.perSecond.has_value() != endpoint.terms.perSecond.has_value() ||
    now - told.when >= TellPeriod;
  if (isChanged && isDue) {
    ForgetEnded();
    told = { endpoint.terms.perSecond, now };
    TellLimit(endpoint);
  }
  if (!IsLimited(endpoint)) {
    told_.erase(endpoint.id);
    buckets_.erase(endpoint.id);
  }
}

void SendPermits::TellLimit(const DirectoryEndpoint& endpoint)
{
  if (members_ == nullptr) {
    return;
  }
  const std::string news = DescribeLimit(endpoint).SerializeAsString();
  const auto tell = [this, &news](const GatewayMember& member) {
    peers_->Call(member.address, "/limit", news, TellTimeout,
                 [](const Outcome<std::string>&) {});
  };
  const StagePoolKey pool = PermitPoolOf(directory_, endpoint);
  if (const GatewayMember* coordinator = members_->CoordinatorOf(pool)) {
    tell(*coordinator);
    return;
  }
  for (const GatewayMember& member : members_->Others()) {
    if (!member.suspect) {
      tell(member);
    }
  }
}

} // namespace wg
