// SPDX-License-Identifier: Apache-2.0
#include "wgGatewayRequest.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace wg {
namespace {

/** Boxes that did not answer may by then, and an endpoint of the version may
 * have started again.
 */
constexpr absl::Duration RetryAfterOrigin = absl::Seconds(1);
/** Longer than the stream may be taken up. */
constexpr absl::Duration RetryAfterLostStream = MaxStreamTime;
/** Versions that a log line names. */
constexpr std::size_t MaxLoggedOrigins = 8;

nlohmann::json DescribeOrigins(absl::Span<const StreamOrigin> origins)
{
  nlohmann::json names = nlohmann::json::array();
  for (const StreamOrigin& origin :
       origins.subspan(0, std::min(origins.size(), MaxLoggedOrigins))) {
    names.push_back(absl::StrCat(origin.service, " ", origin.version));
  }
  return names;
}

} // namespace

/** Whether the caller has the beginning of its stream already. */
bool GatewayRequest::TakesStreamUp() const
{
  return route_ != nullptr && route_->repetition == Repetition::Resumable &&
         !FieldOf(exchange_->Request(), Fields().lastEvent).empty();
}

/** The request that began the stream, as its caller says; empty unless it
 * names exactly one.
 */
std::string GatewayRequest::OriginName() const
{
  const auto lines = exchange_->Request().equal_range(Fields().resumes);
  std::string name;
  for (auto line = lines.first; line != lines.second; ++line) {
    const std::string value(line->value().data(), line->value().size());
    const bool isOther = line != lines.first && value != name;
    if (isOther || !IsOriginName(value)) {
      return "";
    }
    name = value;
  }
  return name;
}

void GatewayRequest::FindOrigin()
{
  shared_.metrics.Count("streams_taken_up");
  origin_ = OriginName();
  shared_.origins.Find(
    origin_, PossibleServices(*route_, ElapsedNow()),
    [weak = weak_from_this()](const OriginVerdict& verdict) {
      auto self = weak.lock();
      if (self && !self->ended_) {
        self->OnOrigin(verdict);
      }
    });
}

void GatewayRequest::OnOrigin(const OriginVerdict& verdict)
{
  const bool isKnown = verdict.evidence != OriginEvidence::None;
  shared_.metrics.Count(
    absl::StrCat("stream_origins_", NameOf(verdict.evidence)));
  shared_.log.Write(
    isKnown ? LogWeight::Routine : LogWeight::Notable, "stream_taken_up",
    { { "request", id_ },
      { "resumes", origin_ },
      { "evidence", std::string(NameOf(verdict.evidence)) },
      { "service", verdict.origin.service },
      { "version", verdict.origin.version },
      { "asked", verdict.basis.asked },
      { "answered", verdict.basis.answered },
      { "controls", verdict.basis.controls },
      { "possible", DescribeOrigins(verdict.basis.possible) } });
  isOriginFinal_ = verdict.isFinal;
  if (!isKnown) {
    SayNotRun(OriginUnknownReason);
    return;
  }
  if (!IsTarget(*route_, verdict.origin.service)) {
    SayNotRun(ServiceChangedReason);
    return;
  }
  service_ = verdict.origin.service;
  bound_ = verdict.origin.version;
  BeginWork();
}

/** Of an attempt. The first event of the answer decides which endpoints may
 * continue the stream, at this box or another.
 */
void GatewayRequest::NoteFirstEvent()
{
  if (bound_ && *bound_ != attempt_->version) {
    shared_.metrics.Count("streams_over_versions");
  }
  if (streamBegun_ || route_->repetition != Repetition::Resumable) {
    return;
  }
  bound_ = attempt_->version;
  if (!origin_.empty()) {
    shared_.origins.Keep(origin_, { service_, *bound_ },
                         callerDeadline_ - ElapsedNow());
  }
}

/** Whether any endpoint of the stream's version takes new work. */
bool GatewayRequest::HasEndpointWithinBound() const
{
  const auto serving = ServingEndpoints(shared_.directory, service_);
  return !bound_ || std::any_of(serving.begin(), serving.end(),
                                [this](const DirectoryEndpoint* endpoint) {
                                  return IsWithinBound(bound_, *endpoint);
                                });
}

/** When asking again may help; zero for other reasons. */
absl::Duration GatewayRequest::OriginRetry(absl::string_view reason) const
{
  if (reason == VersionGoneReason) {
    return RetryAfterOrigin;
  }
  if (reason == ServiceChangedReason) {
    return RetryAfterLostStream;
  }
  if (reason == OriginUnknownReason) {
    return isOriginFinal_ ? RetryAfterLostStream : RetryAfterOrigin;
  }
  return absl::ZeroDuration();
}

} // namespace wg
