// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"

#include "wgEndpointLoad.h"
#include "wgEndpointTerms.h"
#include "wgHttpMessage.h"
#include "wgOutcome.h"
#include "wgPeer.pb.h"
#include "wgRouteTable.h"
#include "wgStagePool.h"

namespace wg {

/** \brief Names of the fields that requests and answers carry. */
struct FieldNames
{
  std::string request = "Weirgate-Request-Id";
  std::string deadline = "Weirgate-Deadline-Ms";
  std::string key = "Authorization";
  std::string keyScheme = "Bearer ";
  std::string account = "Weirgate-Account";
  std::string endpoint = "Weirgate-Endpoint"; // no other may serve it
  std::string rank = "Weirgate-Rank";
  std::string tokens = "Weirgate-Tokens"; // "in,out"
  std::string prompt = "Weirgate-Prompt"; // "part:tokens,part:tokens"
  std::string pieces = "Weirgate-Pieces"; // of each stage, "2,0,1"
  std::string pieceKey = "Weirgate-Piece-Key";
  std::string inputs = "Weirgate-Inputs"; // handles of results
  std::string notRun = "Weirgate-Not-Run";
  std::string lastEvent = "Last-Event-ID";
  /** The request that brought the first event of the stream that this one
   * continues.
   */
  std::string resumes = "Weirgate-Resumes";
  /** Further fields that only weirgate may set on a request to an endpoint;
   * a caller's are dropped.
   */
  std::vector<std::string> reserved;
  /** What is passed on, or read, although a Connection field names it. */
  std::vector<std::string> endToEnd = { "Host",
                                        "Weirgate-Request-Id",
                                        "Weirgate-Deadline-Ms",
                                        "Authorization",
                                        "Weirgate-Tokens",
                                        "Weirgate-Prompt",
                                        "Weirgate-Pieces",
                                        "Weirgate-Piece-Key",
                                        "Last-Event-ID",
                                        "Weirgate-Resumes" };
};

/** \brief A request that an endpoint reports to work on. */
struct EndpointRun
{
  std::string request;
  std::uint64_t events = 0; // of its answer that it has made
};

/** \brief How this deployment's callers, endpoints and operators speak. The
 * product's own dialect is what the members are by default.
 */
struct Dialect
{
  FieldNames fields;
  std::string readyPath = "/readyz";
  std::string metricsPath = "/metrics";

  /** \brief Reads a published document; the error says what is wrong. */
  Outcome<RouteTable> (*readDocument)(absl::string_view bytes) = nullptr;
  /** \brief The request that has pieces made. */
  HttpRequest (*makeStageCall)(absl::Span<const StagePiece> pieces,
                               Elapsed now) = nullptr;
  /** \brief One result for each piece, or an error. */
  Outcome<std::vector<wire::StageItemResult>> (*readStageAnswer)(
    absl::string_view body) = nullptr;
  /** \brief The request that gives results up. */
  HttpRequest (*makeRelease)(absl::Span<const std::string> handles) = nullptr;
  /** \brief What the head of an endpoint's answer asks of senders; null: this
   * deployment's endpoints ask nothing.
   */
  SenderTerms (*readTerms)(const HttpHead& head) = nullptr;
  /** \brief The load that the head of an endpoint's answer reports; null: this
   * deployment's endpoints report none.
   */
  EndpointLoadReport (*readLoad)(const HttpHead& head) = nullptr;
  /** \brief The requests that an endpoint works on, by the status that it
   * reports; nothing where it does not say. Null: this deployment's endpoints
   * report none.
   */
  std::optional<std::vector<EndpointRun>> (*readRuns)(absl::string_view body) =
    nullptr;
  /** \brief Where a result lies, IP:port. */
  std::string (*addressOfResult)(absl::string_view handle) = nullptr;
};

} // namespace wg
