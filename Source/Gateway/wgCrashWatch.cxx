// SPDX-License-Identifier: Apache-2.0
#include "wgCrashWatch.h"

#include <chrono>
#include <memory>
#include <utility>

#include <nlohmann/json.hpp>

#include "wgConnectionProbe.h"
#include "wgLoopTimer.h"
#include "wgRequestFingerprint.h"

namespace wg {
namespace {

/** A process that ends closes its connections before its port, some
 * milliseconds apart; a connection that is lost on a link is tried once more.
 */
constexpr auto ProbeDelay = std::chrono::milliseconds(20);
constexpr int MaxProbes = 2;
/** Of an endpoint with 64 requests a line would have 2 kB. */
constexpr std::size_t MaxLogged = 8;

} // namespace

CrashWatch::CrashWatch(EventLoop& loop, Directory& directory, DecisionLog& log,
                       GatewayMetrics& metrics, OnEnded onEnded)
  : loop_(loop)
  , directory_(directory)
  , log_(log)
  , metrics_(metrics)
  , onEnded_(std::move(onEnded))
{
}

void CrashWatch::Cut(absl::string_view endpoint,
                     absl::Span<const CrashSuspect> suspects)
{
  const DirectoryEndpoint* known = FindEndpoint(directory_, endpoint);
  if (known != nullptr && NoteCut(cuts_, *known, suspects, ElapsedNow())) {
    ProbeSoon(known->id);
  }
}

void CrashWatch::ProbeSoon(const std::string& endpoint)
{
  auto timer = std::make_shared<LoopTimer>(loop_, ProbeDelay);
  timer->async_wait([this, timer, endpoint](boost::system::error_code error) {
    if (!error) {
      Probe(endpoint);
    }
  });
}

void CrashWatch::Probe(const std::string& endpoint)
{
  const auto cut = cuts_.endpoints.find(endpoint);
  const DirectoryEndpoint* known = FindEndpoint(directory_, endpoint);
  if (cut == cuts_.endpoints.end() || known == nullptr) {
    return;
  }
  if (++cut->second.probes > MaxProbes) {
    return;
  }
  ProbeAddress(loop_, RouteTo(directory_.routes, known->address),
               [this, endpoint](ConnectResult result) {
                 if (result == ConnectResult::Refused) {
                   ConfirmEnd(endpoint);
                 } else {
                   ProbeSoon(endpoint);
                 }
               });
}

/** Where this box does not reach it, a refusal says nothing of it. */
void CrashWatch::ConfirmEnd(const std::string& endpoint)
{
  const auto take = [this, endpoint](bool hasPath) {
    if (hasPath) {
      Tell(TakeEnded(cuts_, endpoint));
    } else {
      ProbeSoon(endpoint);
    }
  };
  if (confirmPath_) {
    confirmPath_(endpoint, take);
  } else {
    take(true);
  }
}

void CrashWatch::NoteDirectory()
{
  if (!cuts_.endpoints.empty()) {
    Tell(TakeEnded(cuts_, directory_, ElapsedNow()));
  }
}

void CrashWatch::Tell(const std::vector<EndedEndpoint>& ended)
{
  for (const EndedEndpoint& endpoint : ended) {
    std::size_t requests = 0;
    nlohmann::json fingerprints = nlohmann::json::array();
    nlohmann::json parts = nlohmann::json::array();
    for (const CrashSuspect& suspect : endpoint.suspects) {
      const bool isPart = suspect.cause == wire::PROMPT_PART;
      requests += isPart ? 0 : 1;
      nlohmann::json& shown = isPart ? parts : fingerprints;
      if (shown.size() < MaxLogged) {
        shown.push_back(PrintSuspect(suspect));
      }
    }
    metrics_.Count("endpoints_ended");
    log_.Write(LogWeight::Notable, "endpoint_ended",
               { { "endpoint", endpoint.id },
                 { "found_by", std::string(NameOf(endpoint.foundBy)) },
                 { "requests", requests },
                 { "fingerprints", std::move(fingerprints) },
                 { "parts", std::move(parts) } });
    onEnded_(endpoint);
  }
}

} // namespace wg
