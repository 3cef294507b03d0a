// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <thread>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

#include "wgElapsed.h"
#include "wgFileOperations.h"
#include "wgPeer.pb.h"

namespace wg {

/** \class EndpointFile
 * \brief What a control box knows of endpoints, kept over a restart.
 *
 * It is a hint, as endpoints register again: without it boxes know none of
 * them after all power was lost, and the last of 44 with heartbeats every 1.2
 * s was heard 1.4 s after the first control box had started. A thread of its
 * own writes it, so that a disk that stalls holds nothing else up.
 */
class EndpointFile
{
public:
  EndpointFile(FileOperations& files, std::string folder);
  ~EndpointFile();

  /** \brief What the process before kept; nothing where there is no sound
   * file, and no endpoints where it is too old for them to be of use.
   */
  std::optional<wire::RememberedEndpoints> Read(absl::Time now) const;

  /** \brief Writes soon; returns at once. What was handed over before and is
   * not yet written is left out.
   */
  void Keep(wire::RememberedEndpoints endpoints, absl::Time now);

private:
  void Run();
  bool HasWork() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
  {
    return stopping_ || next_.has_value();
  }

  FileOperations& files_;
  const std::string folder_;
  absl::Mutex mutex_;
  std::optional<wire::RememberedEndpoints> next_ ABSL_GUARDED_BY(mutex_);
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread thread_;
};

/** \brief The revisions that are kept, and when the next ones may be. */
struct KeepTurns
{
  std::uint64_t endpoints = 0;
  std::uint64_t crashes = 0;
  Elapsed next;
};

/** \brief 300 endpoints are some 30 kB, a write and two syncs. */
constexpr absl::Duration KeepEndpointsPeriod = absl::Seconds(1);

/** \brief Whether these revisions are to be kept now: a change at once, in a
 * burst at most once a period.
 */
bool TakeKeepTurn(KeepTurns& turns, std::uint64_t endpoints,
                  std::uint64_t crashes, Elapsed now);

} // namespace wg
