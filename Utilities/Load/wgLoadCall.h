// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace wg {

/** \brief One line of a file of inputs. */
struct LoadInput
{
  std::string account;
  std::string key;
  std::string pipeline;
  std::string input;
  int maxTokens = 64;
  bool once = false; // sent with an idempotency key of its own
};

/** \brief What one stage of a request took, as its answer says. */
struct LoadStageCost
{
  std::string stage;
  std::uint64_t tries = 0;
  std::uint64_t tokens = 0;
  double usefulSeconds = 0.0;
  double wastedSeconds = 0.0;
};

/** \brief How one request went, as its caller saw it. */
struct LoadResult
{
  std::string account;
  std::string pipeline;
  std::string request;
  int status = 0;     // 0: no answer at all
  std::string reason; // of a refusal or failure
  std::string run;
  bool whole = false; // the answer is whole and to this input
  bool wrong = false; // an answer, but not the whole right one
  double seconds = 0.0;
  double firstTokenSeconds = -1.0;
  double longestGapSeconds = -1.0; // between two tokens
  std::vector<LoadStageCost> costs;
};

/** \brief How requests are sent. */
struct CallSettings
{
  bool stream = false;
  int deadlineMs = 0; // 0: the pipeline's own
};

/** \class Balancer
 * \brief Stands for the platform's: gives the entries that are ready in turn.
 */
class Balancer
{
public:
  explicit Balancer(std::vector<std::string> entries);
  /** \brief Asks every entry whether it is ready. */
  void Refresh();
  std::string Next();

private:
  std::vector<std::string> entries_;
  absl::Mutex mutex_;
  std::vector<std::string> ready_ ABSL_GUARDED_BY(mutex_);
  std::size_t turn_ ABSL_GUARDED_BY(mutex_) = 0;
};

/** \brief Sends one request and judges the answer. */
LoadResult SendOne(Balancer& balancer, const LoadInput& input,
                   const CallSettings& settings);

} // namespace wg
