// SPDX-License-Identifier: Apache-2.0
#include "wgSendPermits.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include "absl/time/clock.h"

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

/** The age of a limit of which nothing was heard: it is no news. */
constexpr std::int64_t NeverReported = -1;

/** Two starts may be known at an address for a moment. */
int OpenAt(const Directory& directory, const std::string& address)
{
  auto found = directory.index.byAddress.find(address);
  int open = 0;
  if (found != directory.index.byAddress.end()) {
    for (const auto& [id, endpoint] : found->second) {
      open += endpoint->running + endpoint->asking;
    }
  }
  return open;
}

wire::EndpointLimit DescribeLimit(const DirectoryEndpoint& endpoint)
{
  wire::EndpointLimit limit;
  limit.set_endpoint(endpoint.id);
  const SendLimits& limits = endpoint.terms.limits;
  limit.set_is_limited(limits.perSecond.has_value());
  limit.set_per_second(limits.perSecond.value_or(0.0));
  limit.set_is_brittle(limits.refusalsPerSecond.has_value());
  limit.set_refusals_per_second(limits.refusalsPerSecond.value_or(0.0));
  const bool isKnown = endpoint.terms.limitReported > Elapsed();
  limit.set_age_ms(isKnown ? absl::ToInt64Milliseconds(
                               ElapsedNow() - endpoint.terms.limitReported)
                           : NeverReported);
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
  , lastReport_(static_cast<std::uint64_t>(absl::ToUnixMicros(absl::Now())))
  , lastGrant_(lastReport_)
  , reportTimer_(loop)
{
  terms_.OnAnswer(
    [this](const DirectoryEndpoint& endpoint) { NoteAnswer(endpoint); });
}

void SendPermits::SetPeers(PeerClient& peers, StageClient& members,
                           std::string self)
{
  self_ = std::move(self);
  peers_ = &peers;
  members_ = &members;
  members.OnMembersChanged([this] { NoteMembers(); });
}

bool SendPermits::IsCoordinator(const StagePoolKey& pool) const
{
  return members_ == nullptr || members_->CoordinatorOf(pool) == nullptr;
}

std::string SendPermits::CoordinatorBoxOf(const StagePoolKey& pool) const
{
  const GatewayMember* member =
    members_ == nullptr ? nullptr : members_->CoordinatorOf(pool);
  return member == nullptr ? self_ : member->box;
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
  ForgetDenials();
}

/** What one box denied is asked of another one that takes its place: a box
 * that stands in for a moment hands out little.
 */
void SendPermits::ForgetDenials()
{
  const Elapsed now = ElapsedNow();
  for (auto it = deniedBy_.begin(); it != deniedBy_.end();) {
    DirectoryEndpoint* endpoint = FindEndpoint(directory_, it->first);
    const bool isOver = endpoint == nullptr || endpoint->deniedUntil <= now;
    const bool isMoved =
      !isOver &&
      CoordinatorBoxOf(PermitPoolOf(directory_, *endpoint)) != it->second;
    if (isMoved) {
      endpoint->deniedUntil = Elapsed();
    }
    it = isOver || isMoved ? deniedBy_.erase(it) : std::next(it);
  }
}

/** A box that is asked by one that suspects the coordinator, or has only just
 * become it, does not know what was handed out before.
 */
absl::Duration SendPermits::UntilSettled(const StagePoolKey& pool)
{
  if (members_ == nullptr) {
    return absl::ZeroDuration();
  }
  auto [found, isNew] = coordinations_.try_emplace(pool);
  Coordination& coordination = found->second;
  if (isNew) {
    coordination = { IsCoordinator(pool), members_->MembersChanged() };
  }
  return coordination.isOwn
           ? std::max(coordination.since + LimitWindow - ElapsedNow(),
                      absl::ZeroDuration())
           : absl::InfiniteDuration();
}

bool SendPermits::IsSettled(const StagePoolKey& pool)
{
  return UntilSettled(pool) <= absl::ZeroDuration();
}

SendRate SendPermits::RateOf(const DirectoryEndpoint& endpoint,
                             const StagePoolKey& pool)
{
  return { *endpoint.terms.limits.perSecond, UntilSettled(pool) };
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

BrittleBounds SendPermits::BoundsOf(const DirectoryEndpoint& endpoint,
                                    const StagePoolKey& pool)
{
  return { endpoint.slots,
           endpoint.terms.limits.refusalsPerSecond.value_or(0.0),
           IsSettled(pool) };
}

absl::Duration SendPermits::TimeUntilRoom(const DirectoryEndpoint& endpoint,
                                          const StagePoolKey& pool)
{
  const Elapsed now = ElapsedNow();
  const absl::Duration wait = TimeUntilFree(endpoint, pool);
  if (!IsBrittle(directory_, endpoint, now)) {
    return wait;
  }
  const BrittleRoom& room = rooms_[endpoint.address];
  if (HasRoom(room, BoundsOf(endpoint, pool), now)) {
    return wait;
  }
  return std::max({ wait, room.pausedUntil - now, LeastDenial });
}

std::uint64_t SendPermits::TakeFor(const DirectoryEndpoint& endpoint,
                                   const StagePoolKey& pool,
                                   const std::string& box)
{
  const std::uint64_t number =
    IsBrittle(directory_, endpoint, ElapsedNow()) ? ++lastGrant_ : 0;
  CountGranted(endpoint, pool, box, number);
  return number;
}

void SendPermits::CountGranted(const DirectoryEndpoint& endpoint,
                               const StagePoolKey& pool,
                               const std::string& box, std::uint64_t number)
{
  Take(endpoint, pool);
  const Elapsed now = ElapsedNow();
  if (IsBrittle(directory_, endpoint, now)) {
    NoteGranted(rooms_[endpoint.address], box, number, now);
  }
}

void SendPermits::NoteGrant(const DirectoryEndpoint& endpoint,
                            std::uint64_t number)
{
  if (number != 0) {
    grants_[endpoint.address] = number;
  }
}

wire::OpenRequests SendPermits::DescribeOpen(const DirectoryEndpoint& endpoint,
                                             int refused)
{
  wire::OpenRequests requests;
  requests.set_box(self_);
  requests.set_sequence(++lastReport_);
  requests.set_open(
    static_cast<std::uint32_t>(OpenAt(directory_, endpoint.address)));
  requests.set_refused(static_cast<std::uint32_t>(refused));
  if (auto grant = grants_.find(endpoint.address); grant != grants_.end()) {
    requests.set_grant(grant->second);
  }
  return requests;
}

void SendPermits::NoteRequests(const DirectoryEndpoint& endpoint,
                               const StagePoolKey& pool,
                               const wire::OpenRequests& requests)
{
  const Elapsed now = ElapsedNow();
  if (!IsBrittle(directory_, endpoint, now)) {
    return;
  }
  BrittleRoom& room = rooms_[endpoint.address];
  if (requests.refused() > 0) {
    NoteRefused(room, static_cast<int>(requests.refused()),
                BoundsOf(endpoint, pool), now);
    metrics_.Count("brittle_refusals", requests.refused());
  }
  NoteOpen(room, requests.box(),
           { static_cast<int>(requests.open()), requests.sequence(),
             requests.grant() },
           now);
}

void SendPermits::TakeReport(const wire::OpenReport& report)
{
  const DirectoryEndpoint* endpoint =
    FindEndpoint(directory_, report.endpoint());
  if (endpoint != nullptr) {
    NoteRequests(*endpoint, { report.service(), report.pool_hall() },
                 report.requests());
  }
}

void SendPermits::NoteEnd(const DirectoryEndpoint& endpoint, bool wasRefused)
{
  if (IsBrittle(directory_, endpoint, ElapsedNow())) {
    Report(endpoint, wasRefused ? 1 : 0);
  }
}

void SendPermits::Report(const DirectoryEndpoint& endpoint, int refused)
{
  const StagePoolKey pool = PermitPoolOf(directory_, endpoint);
  wire::OpenReport report;
  report.set_endpoint(endpoint.id);
  report.set_service(pool.service);
  report.set_pool_hall(pool.hall);
  *report.mutable_requests() = DescribeOpen(endpoint, refused);
  if (report.requests().open() > 0) {
    reported_.insert(endpoint.id);
    ArmReports();
  } else {
    reported_.erase(endpoint.id);
  }
  const GatewayMember* member =
    members_ == nullptr ? nullptr : members_->CoordinatorOf(pool);
  if (member == nullptr) {
    TakeReport(report);
    return;
  }
  peers_->Call(member->address, "/send-open", report.SerializeAsString(),
               TellTimeout, [](const Outcome<std::string>&) {});
}

/** Another box may be the coordinator by now, or a report was lost. */
void SendPermits::RepeatReports()
{
  const std::set<std::string> reported = std::exchange(reported_, {});
  const Elapsed now = ElapsedNow();
  for (const std::string& id : reported) {
    const DirectoryEndpoint* endpoint = FindEndpoint(directory_, id);
    if (endpoint != nullptr && IsBrittle(directory_, *endpoint, now)) {
      Report(*endpoint, 0);
    }
  }
}

void SendPermits::ArmReports()
{
  if (std::exchange(isReportArmed_, true)) {
    return;
  }
  reportTimer_.expires_after(absl::ToChronoMilliseconds(ReportPeriod));
  reportTimer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      isReportArmed_ = false;
      RepeatReports();
    }
  });
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
  NoteRequests(*endpoint, pool, ask.requests());
  const absl::Duration wait = TimeUntilRoom(*endpoint, pool);
  answer.set_granted(wait <= absl::ZeroDuration());
  answer.set_wait_ms(absl::ToInt64Milliseconds(wait));
  *answer.mutable_limit() = DescribeLimit(*endpoint);
  if (answer.granted()) {
    CountGranted(*endpoint, pool, ask.requests().box(), 0);
  }
  return answer;
}

void SendPermits::Ask(DirectoryEndpoint& endpoint, Answered answered)
{
  const StagePoolKey pool = PermitPoolOf(directory_, endpoint);
  wire::SendAsk ask;
  *ask.mutable_limit() = DescribeLimit(endpoint);
  ask.set_service(pool.service);
  ask.set_pool_hall(pool.hall);
  *ask.mutable_requests() = DescribeOpen(endpoint, 0);
  ++endpoint.asking;
  metrics_.Count("sends_asked");
  const GatewayMember* member =
    members_ == nullptr ? nullptr : members_->CoordinatorOf(pool);
  if (member == nullptr) {
    // Not at once, as if another box were asked.
    boost::asio::post(loop_, [this, ask, answered = std::move(answered)] {
      TakeAnswer(ask.limit().endpoint(), self_, Grant(ask), answered);
    });
    return;
  }
  peers_->Call(member->address, "/send", ask.SerializeAsString(), AskTimeout,
               [this, box = member->box, id = endpoint.id,
                answered = std::move(answered)](Outcome<std::string> reply) {
                 boost::asio::post(
                   loop_, [this, box, id, answered, reply = std::move(reply)] {
                     wire::SendAnswer answer;
                     if (!Succeeded(reply) ||
                         !answer.ParseFromString(Value(reply))) {
                       metrics_.Count("send_coordinators_silent");
                       members_->Doubt(box);
                     }
                     DirectoryEndpoint* known = FindEndpoint(directory_, id);
                     if (answer.no_path() && known != nullptr) {
                       members_->NoteNoPath(box);
                       --known->asking;
                       Ask(*known, answered);
                       return;
                     }
                     TakeAnswer(id, box, answer, answered);
                   });
               });
}

/** Without an answer nothing is sent either. */
void SendPermits::TakeAnswer(const std::string& id, const std::string& box,
                             const wire::SendAnswer& answer,
                             const Answered& answered)
{
  TakeNews(answer.limit());
  DirectoryEndpoint* endpoint = FindEndpoint(directory_, id);
  if (endpoint != nullptr) {
    --endpoint->asking;
  }
  if (endpoint != nullptr && !answer.granted()) {
    const absl::Duration wait =
      std::max(absl::Milliseconds(answer.wait_ms()), LeastDenial);
    endpoint->deniedUntil = ElapsedNow() + wait;
    deniedBy_[id] = box;
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
               { "per_second", endpoint.terms.limits.perSecond.value_or(0.0) },
               { "refusals_per_second",
                 endpoint.terms.limits.refusalsPerSecond.value_or(0.0) },
               { "wait_ms", absl::ToInt64Milliseconds(wait) } });
}

void SendPermits::TakeNews(const wire::EndpointLimit& news)
{
  DirectoryEndpoint* endpoint = FindEndpoint(directory_, news.endpoint());
  if (endpoint == nullptr || news.age_ms() < 0) {
    return;
  }
  SendLimits limits;
  if (news.is_limited()) {
    limits.perSecond = news.per_second();
  }
  if (news.is_brittle()) {
    limits.refusalsPerSecond = news.refusals_per_second();
  }
  const Elapsed told = ElapsedNow() - absl::Milliseconds(news.age_ms());
  if (!terms_.HeardLimits(*endpoint, limits, told)) {
    return;
  }
  if (IsCoordinator(PermitPoolOf(directory_, *endpoint))) {
    NoteAnswer(*endpoint);
  } else { // who tells all boxes is known to know it
    told_[endpoint->id] = { limits, ElapsedNow() };
  }
}

void SendPermits::ForgetEnded()
{
  const auto forget = [](auto& entries, auto isKnown) {
    for (auto entry = entries.begin(); entry != entries.end();) {
      entry = isKnown(entry->first) ? std::next(entry) : entries.erase(entry);
    }
  };
  const auto isKnown = [this](const std::string& id) {
    return FindEndpoint(directory_, id) != nullptr;
  };
  forget(told_, isKnown);
  forget(buckets_, isKnown);
  forget(deniedBy_, isKnown);
  const auto isAddress = [this](const std::string& address) {
    return FindByAddress(directory_, address) != nullptr;
  };
  forget(rooms_, isAddress);
  forget(grants_, isAddress);
}

/** What an endpoint that never had a limit answers costs no look-up. */
void SendPermits::NoteAnswer(const DirectoryEndpoint& endpoint)
{
  const SendLimits& limits = endpoint.terms.limits;
  const bool isAny = IsAnyGiven(limits);
  if (!isAny && told_.empty()) {
    return;
  }
  ToldLimit& told = told_[endpoint.id];
  const Elapsed now = ElapsedNow();
  const bool isChanged = told.limits != limits;
  const bool isDue =
    told.limits.perSecond.has_value() != limits.perSecond.has_value() ||
    told.limits.refusalsPerSecond.has_value() !=
      limits.refusalsPerSecond.has_value() ||
    now - told.when >= TellPeriod;
  if (isChanged && isDue) {
    ForgetEnded();
    told = { limits, now };
    TellLimit(endpoint);
  }
  if (!isAny) {
    told_.erase(endpoint.id);
    buckets_.erase(endpoint.id);
    rooms_.erase(endpoint.address);
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
