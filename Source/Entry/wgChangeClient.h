// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <deque>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include "wgElapsed.h"
#include "wgPeer.pb.h"
#include "wgPeerClient.h"

namespace wg {

/** \class ChangeClient
 * \brief Proposes changes to whichever control replica leads.
 */
class ChangeClient
{
public:
  ChangeClient(PeerClient& client, std::vector<std::string> controls);

  /** \brief Proposes until there is a definite answer or the time is over.
   * A verdict of UNAVAILABLE leaves open whether it was or will be made.
   */
  wire::ChangeResult Propose(const wire::Change& change, Elapsed until);

private:
  std::string CurrentLeader();
  void NoteLeader(const std::string& leader);
  std::string NextControl(const std::string& after) const;

  PeerClient& client_;
  std::vector<std::string> controls_;
  absl::Mutex mutex_;
  std::string leader_ ABSL_GUARDED_BY(mutex_);
};

/** \brief What became of a wish to run under an idempotency key. */
enum class ClaimOutcome
{
  Taken,
  UsedRunning, // another request holds it and has not ended
  UsedEnded,   // another request ran under it
  Unavailable
};

/** \brief A key that a request runs under. */
struct RequestClaim
{
  std::string account;
  std::string key;
  std::string request;
};

/** \brief The end of a claim that the control replicas are still to hear. */
struct ClaimEnd
{
  RequestClaim claim;
  bool notRun = false; // true: the key is free again
};

ClaimOutcome TakeClaim(ChangeClient& changes, const RequestClaim& claim,
                       Elapsed until);

/** \class ClaimEnder
 * \brief Reports the ends of claims behind the callers' backs, so that no
 * answer waits for it. One that can't be reported stays claimed, which is
 * safe: a resend of its key is refused, not run.
 */
class ClaimEnder
{
public:
  explicit ClaimEnder(ChangeClient& changes);
  /** \brief Reports what is left, for a bounded time, and stops. */
  ~ClaimEnder();
  void Post(ClaimEnd end);

private:
  void Run();

  ChangeClient& changes_;
  absl::Mutex mutex_;
  std::deque<ClaimEnd> ends_ ABSL_GUARDED_BY(mutex_);
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  Elapsed stopBy_ ABSL_GUARDED_BY(mutex_) = absl::InfiniteDuration();
  std::thread thread_;
};

} // namespace wg
