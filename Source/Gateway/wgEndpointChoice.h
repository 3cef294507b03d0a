// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/random/bit_gen_ref.h"
#include "absl/strings/string_view.h"
#include "absl/types/span.h"

#include "wgDirectory.h"

namespace wg {

/** \brief A part of a prompt; requests with the same part share it. */
struct PromptPart
{
  std::string id;
  std::int64_t tokens = 0;
};

/** \brief What generating an answer takes. */
struct PromptShape
{
  std::vector<PromptPart> parts; // in their order
  std::int64_t tokensIn = 0;
  std::int64_t tokensOut = 0;
};

/** \brief The last part that other requests may have; of a prompt that has
 * parts.
 */
const PromptPart& DeepestSharedPart(const PromptShape& prompt);

/** \brief Reads "id:tokens,id:tokens". */
std::vector<PromptPart> ParsePromptParts(absl::string_view text);

/** \brief How fast engines are taken to read prompts. */
struct EngineSpeed
{
  double secondsPerToken = 16.5e-6;
};

/** \brief What the choice of an endpoint depends on. */
struct ChoiceQuery
{
  Elapsed now;
  std::string hall;
  double otherHallSeconds = 0.0015;
  absl::Span<const std::string> avoid; // ids where attempts failed
};

/** \brief The least loaded endpoint, of equals one in the own hall; null when
 * there is none.
 */
DirectoryEndpoint* ChoosePlain(absl::Span<DirectoryEndpoint* const> endpoints,
                               const ChoiceQuery& query,
                               absl::BitGenRef random);

/** \brief An engine for a prompt, and the seconds that it is expected to read.
 */
struct EngineChoice
{
  DirectoryEndpoint* endpoint = nullptr;
  double prefillSeconds = 0.0;
};

/** \brief The engine that is expected to begin the answer first.
 *
 * Rendezvous hashing of the deepest shared part gives each prompt the engines
 * that are likely to hold it; another one is taken when those are busy for
 * longer than it takes to read the part anew.
 */
EngineChoice ChooseEngine(absl::Span<DirectoryEndpoint* const> endpoints,
                          const PromptShape& prompt, const EngineSpeed& speed,
                          const ChoiceQuery& query);

/** \brief A number for a pair of names, the same on every box. */
std::uint64_t RendezvousWeight(absl::string_view key, absl::string_view name);

} // namespace wg
