// SPDX-License-Identifier: Apache-2.0
#include "wgStreamOrigins.h"

#include <algorithm>
#include <map>
#include <utility>

#include <boost/asio/post.hpp>

#include "wgEndpointChoice.h"

namespace wg {
namespace {

constexpr absl::Duration CopyTimeout = absl::Milliseconds(300);
/** The caller waits meanwhile; boxes that live answer in a few milliseconds,
 * busy ones in some tens.
 */
constexpr absl::Duration AskTimeout = absl::Milliseconds(150);
/** Boxes that a copy is offered to, one after the other. */
constexpr std::size_t CopyTries = 2;
/** How often the versions that may have begun streams are found anew. */
constexpr absl::Duration VersionsPeriod = absl::Seconds(5);
constexpr int AskTries = 2;

} // namespace

/** A question to several boxes, until it is answered. */
struct StreamOrigins::Search
{
  bool isNamed = false;
  std::vector<std::string> services;
  std::string body;
  std::vector<OriginAnswer> answers;
  std::size_t open = 0;
  Found found; // empty once it was called
};

StreamOrigins::StreamOrigins(EventLoop& loop, PeerClient& peers,
                             StageClient& members, const Directory& directory,
                             std::string hall, GatewayMetrics& metrics)
  : loop_(loop)
  , peers_(peers)
  , members_(members)
  , directory_(directory)
  , hall_(std::move(hall))
  , metrics_(metrics)
{
}

std::vector<OriginKeeper> StreamOrigins::DescribeOthers(
  const std::string& request) const
{
  std::vector<OriginKeeper> others;
  others.reserve(members_.Others().size());
  for (const GatewayMember& member : members_.Others()) {
    others.push_back(
      { RendezvousWeight(request, member.box), member.hall, !member.suspect });
  }
  return others;
}

void StreamOrigins::Keep(const std::string& request,
                         const StreamOrigin& origin, absl::Duration left)
{
  const Elapsed now = ElapsedNow();
  const OriginRecord record{ origin, now + left };
  KeepOrigin(records_, request, record, now);
  if (FindOrigin(records_, request, now) != nullptr) {
    SendCopies(request, record);
  }
}

void StreamOrigins::SendCopies(const std::string& request,
                               const OriginRecord& record)
{
  wire::StreamOrigins origins;
  *origins.add_origins() = DescribeOrigin(request, record, ElapsedNow());
  const std::string body = origins.SerializeAsString();
  const absl::Span<const GatewayMember> others = members_.Others();
  const OriginKeepers keepers =
    RankOriginKeepers(DescribeOthers(request), hall_);
  const auto send = [&](const std::vector<std::size_t>& ranked,
                        std::size_t copies) {
    for (std::size_t i = 0; i < std::min(copies, ranked.size()); ++i) {
      // If it fails, the next box that has no copy is tried.
      std::vector<GatewayMember> candidates{ others[ranked[i]] };
      if (i + copies < ranked.size()) {
        candidates.push_back(others[ranked[i + copies]]);
      }
      SendCopy(body, std::move(candidates), 0, CopyTries);
    }
  };
  send(keepers.near, NearCopies);
  send(keepers.far, FarCopies);
  NoteVersionsIfDue();
  if (versions_[record.origin.service].size() > 1) {
    QueueForControls(origins.origins(0));
  }
}

/** Where one version alone has served, that tells what began a stream. */
void StreamOrigins::NoteVersion(const std::string& service,
                                const std::string& version)
{
  std::set<std::string>& versions = versions_[service];
  const bool isSecond = versions.insert(version).second && versions.size() > 1;
  if (!isSecond) {
    return;
  }
  const Elapsed now = ElapsedNow();
  for (const auto& [request, record] : records_.byRequest) {
    if (record.origin.service == service && now < record.until) {
      QueueForControls(DescribeOrigin(request, record, now));
    }
  }
}

void StreamOrigins::NoteVersionsIfDue()
{
  const Elapsed now = ElapsedNow();
  if (now < nextVersions_) {
    return;
  }
  nextVersions_ = now + VersionsPeriod;
  versions_.clear();
  for (const StreamOrigin& origin :
       PossibleOrigins(directory_, now - StreamMemory)) {
    versions_[origin.service].insert(origin.version);
  }
}

/** Control boxes outlast all gateways. They are told at once, as all gateways
 * may be killed in the next moment; what comes until a box has answered goes
 * to it in one message.
 */
void StreamOrigins::QueueForControls(const wire::StreamOrigin& copy)
{
  const std::vector<KnownControl> controls = controls_();
  std::vector<OriginKeeper> keepers;
  keepers.reserve(controls.size());
  for (const KnownControl& control : controls) {
    keepers.push_back({ RendezvousWeight(copy.request(), control.address),
                        control.hall, control.isReached });
  }
  const std::vector<std::size_t> ranked = RankOriginControls(keepers);
  for (std::size_t i = 0; i < std::min(ControlCopies, ranked.size()); ++i) {
    const std::size_t next = i + ControlCopies;
    Queue({ copy, next < ranked.size() ? controls[ranked[next]].address : "" },
          controls[ranked[i]].address);
  }
}

void StreamOrigins::Queue(QueuedCopy copy, const std::string& control)
{
  metrics_.Count("stream_origin_copies_sent");
  queued_[control].push_back(std::move(copy));
  SendIfIdle(control);
}

void StreamOrigins::SendIfIdle(const std::string& control)
{
  if (sending_.count(control) == 0) {
    SendBatch(control);
  }
}

void StreamOrigins::SendBatch(const std::string& control)
{
  std::vector<QueuedCopy> copies = std::exchange(queued_[control], {});
  if (copies.empty()) {
    return;
  }
  wire::StreamOrigins origins;
  for (const QueuedCopy& queued : copies) {
    *origins.add_origins() = queued.copy;
  }
  sending_.insert(control);
  peers_.Call(
    control, "/stream-origins", origins.SerializeAsString(), CopyTimeout,
    [this, control,
     copies = std::move(copies)](const Outcome<std::string>& reply) {
      const bool isKept = Succeeded(reply) && Value(reply) == OriginsKeptReply;
      boost::asio::post(loop_, [this, control, isKept, copies] {
        TakeBatchReply(control, copies, isKept);
      });
    });
}

void StreamOrigins::TakeBatchReply(const std::string& control,
                                   const std::vector<QueuedCopy>& copies,
                                   bool isKept)
{
  sending_.erase(control);
  metrics_.Count(isKept ? "stream_origin_copies_kept"
                        : "stream_origin_copies_failed",
                 copies.size());
  for (const QueuedCopy& queued : copies) {
    if (isKept) {
      continue;
    }
    if (queued.next.empty()) {
      metrics_.Count("stream_origin_copies_lost");
    } else {
      Queue({ queued.copy, "" }, queued.next);
    }
  }
  SendIfIdle(control);
}

void StreamOrigins::SendCopy(const std::string& body,
                             std::vector<GatewayMember> candidates,
                             std::size_t next, std::size_t tries)
{
  if (next == candidates.size() || tries == 0) {
    metrics_.Count("stream_origin_copies_lost");
    return;
  }
  const GatewayMember member = candidates[next];
  metrics_.Count("stream_origin_copies_sent");
  peers_.Call(
    member.address, "/stream-origins", body, CopyTimeout,
    [this, body, candidates = std::move(candidates), next, tries,
     box = member.box](const Outcome<std::string>& reply) mutable {
      const bool isKept = Succeeded(reply) && Value(reply) == OriginsKeptReply;
      boost::asio::post(loop_, [this, body, box, next, tries, isKept,
                                candidates = std::move(candidates)]() mutable {
        if (isKept) {
          metrics_.Count("stream_origin_copies_kept");
          return;
        }
        metrics_.Count("stream_origin_copies_failed");
        members_.Doubt(box);
        SendCopy(body, std::move(candidates), next + 1, tries - 1);
      });
    });
}

void StreamOrigins::Find(const std::string& request,
                         absl::Span<const std::string> services, Found found)
{
  const Elapsed now = ElapsedNow();
  const OriginRecord* kept = FindOrigin(records_, request, now);
  if (kept != nullptr) {
    const OriginEvidence evidence = kept->origin.version.empty()
                                      ? OriginEvidence::None
                                      : OriginEvidence::Kept;
    boost::asio::post(
      loop_, [verdict = OriginVerdict{ evidence, kept->origin, true, {} },
              found = std::move(found)] { found(verdict); });
    return;
  }
  auto search = std::make_shared<Search>();
  search->isNamed = !request.empty();
  search->services.assign(services.begin(), services.end());
  search->found = std::move(found);
  wire::StreamOriginAsk ask;
  ask.set_request(request);
  for (const std::string& service : services) {
    ask.add_services(service);
  }
  search->body = ask.SerializeAsString();
  std::vector<Source> sources = GatewaySources(request, search->answers);
  for (const KnownControl& control : controls_()) {
    OriginAnswer answer;
    answer.control = control.address;
    answer.isFollowed = control.isFollowed;
    sources.push_back({ control.address, "", search->answers.size() });
    search->answers.push_back(std::move(answer));
  }
  search->open = sources.size();
  metrics_.Count("stream_origins_asked", sources.size());
  for (const Source& source : sources) {
    Ask(search, source, AskTries);
  }
  if (sources.empty()) {
    boost::asio::post(loop_, [this, search] { Finish(*search); });
  }
}

/** Boxes that may keep a copy; those that can't be asked answer nothing. A
 * request that was not named has no copy.
 */
std::vector<StreamOrigins::Source> StreamOrigins::GatewaySources(
  const std::string& request, std::vector<OriginAnswer>& answers) const
{
  std::vector<Source> sources;
  if (request.empty()) {
    return sources;
  }
  const absl::Span<const GatewayMember> others = members_.Others();
  const std::vector<OriginKeeper> keepers = DescribeOthers(request);
  for (const std::size_t i : ChooseOriginSources(keepers)) {
    sources.push_back({ others[i].address, others[i].box, answers.size() });
    answers.emplace_back();
  }
  for (const OriginKeeper& keeper : keepers) {
    if (!keeper.isReachable) {
      answers.emplace_back();
    }
  }
  return sources;
}

void StreamOrigins::Ask(const std::shared_ptr<Search>& search,
                        const Source& source, int tries)
{
  peers_.Call(source.address, "/stream-origin", search->body, AskTimeout,
              [this, search, source, tries,
               sent = ElapsedNow()](Outcome<std::string> reply) {
                boost::asio::post(loop_, [this, search, source, tries, sent,
                                          reply = std::move(reply)] {
                  // A connection that was reset is opened anew by the next
                  // call.
                  const bool isReset =
                    !Succeeded(reply) && ElapsedNow() - sent < AskTimeout / 2;
                  if (isReset && tries > 1) {
                    Ask(search, source, tries - 1);
                    return;
                  }
                  TakeAnswer(*search, source, reply);
                });
              });
}

void StreamOrigins::TakeAnswer(Search& search, const Source& source,
                               const Outcome<std::string>& reply)
{
  OriginAnswer& answer = search.answers[source.answer];
  if (Succeeded(reply)) {
    OriginAnswer told = detail::ReadOriginAnswer(Value(reply));
    told.control = answer.control;
    told.isFollowed = answer.isFollowed;
    answer = std::move(told);
  }
  if (!answer.hasAnswered && !source.box.empty()) {
    members_.Doubt(source.box);
  }
  --search.open;
  if (search.open == 0 || answer.origin) {
    Finish(search);
  }
}

void StreamOrigins::Finish(Search& search)
{
  if (const Found found = std::exchange(search.found, nullptr)) {
    const std::vector<StreamOrigin> own = Possible(search.services);
    OriginVerdict verdict =
      EvaluateOrigin(search.isNamed, own, search.answers);
    verdict.basis = DescribeBasis(own, search.answers);
    found(verdict);
  }
}

std::vector<StreamOrigin> StreamOrigins::Possible(
  absl::Span<const std::string> services) const
{
  return PossibleOrigins(directory_, services, ElapsedNow() - StreamMemory);
}

std::string StreamOrigins::Take(const wire::StreamOrigins& origins)
{
  if (stopping_) {
    return "";
  }
  detail::KeepCopies(records_, origins, ElapsedNow());
  return std::string(OriginsKeptReply);
}

wire::StreamOriginAnswer StreamOrigins::Answer(
  const wire::StreamOriginAsk& ask) const
{
  const Elapsed now = ElapsedNow();
  wire::StreamOriginAnswer answer;
  if (const OriginRecord* kept = FindOrigin(records_, ask.request(), now)) {
    *answer.mutable_origin() = DescribeOrigin(ask.request(), *kept, now);
    return answer;
  }
  const std::vector<std::string> services(ask.services().begin(),
                                          ask.services().end());
  for (const StreamOrigin& possible : Possible(services)) {
    wire::StreamOrigin& told = *answer.add_possible();
    told.set_service(possible.service);
    told.set_version(possible.version);
  }
  return answer;
}

/** In one message a box, and not to a box that has stopped as well. */
void StreamOrigins::HandOver()
{
  stopping_ = true;
  for (const auto& [control, copies] : queued_) {
    SendBatch(control);
  }
  const Elapsed now = ElapsedNow();
  ExpireOrigins(records_, now);
  const absl::Span<const GatewayMember> others = members_.Others();
  std::map<std::size_t, wire::StreamOrigins> copies; // by place in others
  for (const auto& kept : records_.byRequest) {
    const OriginKeepers keepers =
      RankOriginKeepers(DescribeOthers(kept.first), hall_);
    const auto add = [&](const std::vector<std::size_t>& ranked,
                         std::size_t most) {
      for (std::size_t i = 0; i < std::min(most, ranked.size()); ++i) {
        *copies[ranked[i]].add_origins() =
          DescribeOrigin(kept.first, kept.second, now);
      }
    };
    add(keepers.near, NearCopies);
    add(keepers.far, FarCopies);
  }
  for (const auto& [place, origins] : copies) {
    SendCopy(origins.SerializeAsString(), { others[place] }, 0, 1);
  }
}

} // namespace wg
