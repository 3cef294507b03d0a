// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/types/span.h"

#include "wgColdRate.h"
#include "wgDirectory.h"
#include "wgElapsed.h"
#include "wgEndpointChoice.h"
#include "wgEndpointSpeed.h"

namespace wg {

/** \brief Names a prompt that is being read: the box that sent it, and the
 * box's own number for it.
 */
using EngineReadKey = std::pair<std::string, std::uint64_t>;

/** \brief A prompt that an engine has been sent and has not yet answered. */
struct EngineRead
{
  EngineReadKey key;
  double seconds = 0.0;     // that reading it takes by itself
  double waitSeconds = 0.0; // that it was expected to wait before
  Elapsed sent;
  double factor = 1.0;           // that the engine's speed was taken to be
  double wholeSeconds = 0.0;     // reading, if it held no part
  double wholeWaitSeconds = 0.0; // and what was sent before
};

/** \brief What an engine has to read, oldest first, and how it did lately. */
struct EngineLoad
{
  std::vector<EngineRead> reads;
  Elapsed headFrom;      // when it began with the oldest
  EndpointSpeed speed;   // measured against what reading should take
  FailureShare failures; // of all boxes' attempts
  RecentSends sends;     // while its service's endpoints may be cold
};

/** \brief An engine that has read a part. */
struct PartHolder
{
  std::string engine;
  Elapsed used;
};

/** \brief What all boxes have sent to the engines of a service, as the box
 * knows that chooses engines for them.
 */
struct EnginePool
{
  std::map<std::string, EngineLoad> engines; // by id
  /** By a hash of a part and all before it. */
  std::map<std::uint64_t, std::vector<PartHolder>> holders;
  Elapsed pruned;
  Elapsed placed; // the last prompt; none for long: another box was asked
  Elapsed begun;  // when this box began to choose
  /** Until then engines may hold what no box knows of: all were restarted. The
   * first in rendezvous order is taken to hold a part, as prompts go there
   * while nothing else is known.
   */
  Elapsed guessUntil;
};

/** \brief A prompt to be placed. */
struct EngineQuery
{
  EngineReadKey key;
  PromptShape prompt;
  EngineSpeed speed;
  ChoiceQuery choice;
  ColdBounds cold;
};

/** \brief An engine, null when there is none, and what is expected of it. */
struct EnginePlacement
{
  DirectoryEndpoint* endpoint = nullptr;
  double prefillSeconds = 0.0;
  double waitSeconds = 0.0;
  bool isProbe = false; // of an engine that is judged faulty
};

/** \brief One hash for each part of a prompt: of its name and of all before
 * it. What an engine has read of a part is of use only with those.
 */
std::vector<std::uint64_t> HashPaths(const PromptShape& prompt);

/** \brief This box begins to choose. For a RateWindow it sends nothing to cold
 * engines: the box before it may have sent all that they bear, and boxes that
 * have just started, and do not know each other yet, each believe that they
 * choose.
 */
void BeginToChoose(EnginePool& pool, Elapsed now);

/** \brief Whether prompts may have been placed by another box lately. */
bool MissesNews(const EnginePool& pool, Elapsed now);

/** \brief An engine has been sent prompts with these parts. */
void NoteHolder(EnginePool& pool, absl::Span<const std::uint64_t> paths,
                const std::string& engine, Elapsed when);

/** \brief Parts that were not used for so long may have given way to others.
 */
constexpr absl::Duration PartsHeldFor = absl::Seconds(30);

/** \brief Seconds until the engine has read what it was sent. */
double BacklogSeconds(const EngineLoad& load, Elapsed now);

/** \brief Chooses the engine that is expected to begin the answer first and
 * notes the prompt as sent to it.
 *
 * An engine that has been sent as much as it bears while it is cold is passed
 * over. One that is judged faulty gets single prompts that probe it, unless
 * most are faulty or no other may be chosen. What an engine has read lately it
 * need not read again. Reading anew what another one holds is weighed above
 * its time.
 */
EnginePlacement PlacePrompt(EnginePool& pool,
                            absl::Span<DirectoryEndpoint* const> engines,
                            const EngineQuery& query);

/** \brief How a read ended. */
struct EngineReadResult
{
  double tookSeconds = 0.0; // until the first event; 0: there was none
  bool failed = false;
};

/** \brief What a read has changed in the judgement of an engine. */
struct EngineJudgement
{
  std::string engine;
  bool isFaulty = false;   // or sound again
  double lasting = 1.0;    // its lasting speed
  double tookFactor = 1.0; // this read's time by its usual time
};

/** \brief The engine has begun its answer, or never will. */
std::optional<EngineJudgement> EndRead(EnginePool& pool,
                                       const EngineReadKey& key,
                                       const EngineReadResult& result,
                                       Elapsed now);

} // namespace wg
