// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <nlohmann/json.hpp>

#include "absl/strings/string_view.h"

#include "wgElapsed.h"

namespace wg {

/** \brief How much a line matters when there are too many. */
enum class LogWeight
{
  Routine, // a decision that went as usual
  Notable  // a failure, a refusal, a change of belief
};

/** \class DecisionLog
 * \brief Structured lines on standard output, one for each decision.
 *
 * Lines beyond the rate, and those that standard output can't take at once,
 * are left out and counted; the next line says how many.
 */
class DecisionLog
{
public:
  DecisionLog(std::string box, std::string role);

  void Write(LogWeight weight, absl::string_view event, nlohmann::json fields);
  std::uint64_t LeftOut() const { return leftOut_; }

private:
  struct Bucket
  {
    double perSecond;
    double most;
    double tokens;
  };
  bool Take(Bucket& bucket);

  std::string box_;
  std::string role_;
  Bucket routine_;
  Bucket notable_;
  Elapsed filled_;
  std::uint64_t leftOut_ = 0;
  std::uint64_t toldLeftOut_ = 0;
};

} // namespace wg
