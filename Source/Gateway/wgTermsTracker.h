// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "wgDecisionLog.h"
#include "wgDialect.h"
#include "wgDirectory.h"
#include "wgGatewayMetrics.h"

namespace wg {

/** \class TermsTracker
 * \brief Keeps in the directory what endpoints ask of those that send to them,
 * and the load that they report, as the heads of their answers say it; on the
 * loop.
 */
class TermsTracker
{
public:
  TermsTracker(Directory& directory, const Dialect& dialect,
               GatewayMetrics& metrics, DecisionLog& log);

  /** \brief An endpoint has answered a request that was sent then. */
  void Heard(const std::string& endpoint, const HttpHead& head, Elapsed sent);

  /** \brief Another box was told of limits, or of their end, then.
   * \return whether that is news
   */
  bool HeardLimits(DirectoryEndpoint& endpoint, const SendLimits& limits,
                   Elapsed told);

  using Answered = std::function<void(const DirectoryEndpoint&)>;
  /** \brief Is told of each answer, once its terms are known. */
  void OnAnswer(Answered answered) { answered_ = std::move(answered); }

private:
  void TakeLoadOf(DirectoryEndpoint& endpoint, const HttpHead& head);
  void OnChange(DirectoryEndpoint& endpoint, const TermsChange& change,
                Elapsed now);
  void Tell(const DirectoryEndpoint& endpoint, const TermsChange& change,
            Elapsed now);
  void TellLimits(const DirectoryEndpoint& endpoint);
  void NoteBrittle(const DirectoryEndpoint& endpoint, Elapsed now);

  Directory& directory_;
  const Dialect& dialect_;
  GatewayMetrics& metrics_;
  DecisionLog& log_;
  Answered answered_;
};

} // namespace wg
