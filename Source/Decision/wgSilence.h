// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "absl/time/time.h"

namespace wg {

/** \brief What is known of an endpoint whose answer has paused, from a
 * question over a connection of its own.
 */
enum class LifeSign
{
  Unknown,  // it has not been asked, or may still answer
  NoAnswer, // a connection came up, and nothing came over it
  Working,  // it reports that it works on the request
  Answers,  // it answers, but is not known to work on the request
  Gone      // no connection came up, or another start has its address
};

/** \brief The facts of an answer from which nothing comes. */
struct SilenceFacts
{
  absl::Duration silent;   // since its last byte
  absl::Duration expected; // pauses up to this are usual
  absl::Duration patience; // after which its caller leaves
  LifeSign sign = LifeSign::Unknown;
  absl::Duration signAge; // since the endpoint answered, or failed to
};

enum class SilenceVerdict
{
  Wait, // the answer is taken to go on
  Ask,  // the endpoint is asked first
  GoOn  // another endpoint is to go on with it
};

/** \brief Classifies the silence of an answer.
 *
 * A process that stands still does not answer, but goes on with what it has
 * begun: nothing is lost by waiting while the caller does. One that answers
 * over another connection has lost the answer, or the connection has.
 */
SilenceVerdict EvaluateSilence(const SilenceFacts& facts);

/** \brief How long until the verdict may be another one without news. */
absl::Duration SilenceRecheck(const SilenceFacts& facts);

} // namespace wg
