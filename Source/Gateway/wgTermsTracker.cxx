// SPDX-License-Identifier: Apache-2.0
#include "wgTermsTracker.h"

namespace wg {

TermsTracker::TermsTracker(Directory& directory, const Dialect& dialect,
                           GatewayMetrics& metrics, DecisionLog& log)
  : directory_(directory)
  , dialect_(dialect)
  , metrics_(metrics)
  , log_(log)
{
}

void TermsTracker::Heard(const std::string& endpoint, const HttpHead& head,
                         Elapsed sent)
{
  DirectoryEndpoint* known = FindEndpoint(directory_, endpoint);
  if (known != nullptr) {
    TakeLoadOf(*known, head);
  }
  if (dialect_.readTerms == nullptr || known == nullptr) {
    return;
  }
  const SenderTerms told = dialect_.readTerms(head);
  if (told.unreadable > 0) {
    metrics_.Count("terms_unreadable");
    log_.Write(LogWeight::Notable, "endpoint_terms_unreadable",
               { { "endpoint", endpoint }, { "fields", told.unreadable } });
  }
  const Elapsed now = ElapsedNow();
  const TermsChange change = ApplyTerms(known->terms, told, sent, now);
  if (HasChange(change)) {
    OnChange(*known, change, now);
  }
  NoteBrittle(*known, now);
  if (answered_) {
    answered_(*known);
  }
}

void TermsTracker::TakeLoadOf(DirectoryEndpoint& endpoint,
                              const HttpHead& head)
{
  if (dialect_.readLoad == nullptr) {
    return;
  }
  const EndpointLoadReport report = dialect_.readLoad(head);
  ApplyLoadReport(endpoint.load, report, endpoint.id, ElapsedNow());
  if (!report.isUnreadable) {
    return;
  }
  metrics_.Count("load_reports_unreadable");
  // An endpoint that errs does so in every answer: one line for each start.
  if (endpoint.load.unreadable == 1) {
    log_.Write(
      LogWeight::Notable, "endpoint_load_unreadable",
      { { "endpoint", endpoint.id }, { "service", endpoint.service } });
  }
}

bool TermsTracker::HeardLimits(DirectoryEndpoint& endpoint,
                               const SendLimits& limits, Elapsed told)
{
  TermsChange change;
  change.limit = ApplyLimits(endpoint.terms, limits, told);
  NoteBrittle(endpoint, ElapsedNow());
  if (change.limit) {
    OnChange(endpoint, change, ElapsedNow());
  }
  return change.limit;
}

/** What was denied under the limit before it is asked for anew. */
void TermsTracker::OnChange(DirectoryEndpoint& endpoint,
                            const TermsChange& change, Elapsed now)
{
  if (change.limit) {
    endpoint.deniedUntil = Elapsed();
  }
  Tell(endpoint, change, now);
}

void TermsTracker::Tell(const DirectoryEndpoint& endpoint,
                        const TermsChange& change, Elapsed now)
{
  const EndpointTerms& terms = endpoint.terms;
  if (change.limit) {
    TellLimits(endpoint);
  }
  if (change.backoff) {
    metrics_.Count("rests_asked");
    log_.Write(
      LogWeight::Notable, "endpoint_rest",
      { { "endpoint", endpoint.id },
        { "service", endpoint.service },
        { "rest_ms", absl::ToInt64Milliseconds(terms.backoffUntil - now) } });
  }
  if (change.leaving) {
    metrics_.Count("leavings_told");
    log_.Write(
      LogWeight::Notable, "endpoint_leaving",
      { { "endpoint", endpoint.id }, { "service", endpoint.service } });
  }
}

void TermsTracker::TellLimits(const DirectoryEndpoint& endpoint)
{
  const SendLimits& limits = endpoint.terms.limits;
  const bool isAny = IsAnyGiven(limits);
  metrics_.Count(isAny ? "limits_named" : "limits_ended");
  nlohmann::json fields{ { "endpoint", endpoint.id },
                         { "service", endpoint.service } };
  if (limits.perSecond) {
    fields["per_second"] = *limits.perSecond;
  }
  if (limits.refusalsPerSecond) {
    fields["refusals_per_second"] = *limits.refusalsPerSecond;
  }
  log_.Write(LogWeight::Notable,
             isAny ? "endpoint_limit" : "endpoint_limit_ended",
             std::move(fields));
}

void TermsTracker::NoteBrittle(const DirectoryEndpoint& endpoint, Elapsed now)
{
  if (endpoint.terms.limits.refusalsPerSecond) {
    directory_.brittleHeard[endpoint.service] = now;
  }
}

} // namespace wg
