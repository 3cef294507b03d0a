// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>

#include "absl/container/btree_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

#include "wgConfig.h"
#include "wgHallOrders.h"
#include "wgOutcome.h"
#include "wgPeer.pb.h"
#include "wgVersionRollout.h"

namespace wg {

/** \brief Identifies a change: when its author made it, and which it is. */
struct ChangeId
{
  std::int64_t ms = 0;
  std::string text;

  bool operator<(const ChangeId& other) const
  {
    return ms != other.ms ? ms < other.ms : text < other.text;
  }
};

/** \brief An idempotency key of an account. */
struct ClaimKey
{
  std::string account;
  std::string key;

  bool operator<(const ClaimKey& other) const
  {
    return account != other.account ? account < other.account
                                    : key < other.key;
  }
};

/** \brief Who holds a key. */
struct ClaimHolder
{
  std::string request;
  std::int64_t takenMs = 0;
  bool ended = false;
};

/** \brief A change of the configuration, and the revision that it made. */
struct RevisedChange
{
  std::uint64_t revision = 0;
  wire::Change change;
};

/** \brief The replicated state. Every replica that has applied the same
 * changes has the same; it changes by ApplyChange alone.
 */
struct ServiceState
{
  Config config;
  std::map<ChangeId, wire::ChangeResult> remembered;
  std::int64_t forgottenMs = 0; // ids up to here are no longer remembered
  std::deque<RevisedChange> recent;
  absl::btree_map<ClaimKey, ClaimHolder> claims;
  std::set<std::pair<std::int64_t, ClaimKey>> claimAges;
  std::map<std::string, std::uint64_t> fences;
  wire::ReplaceBox replacement;   // the last that an operator asked for
  wire::PublishDocument document; // number 0: none yet
  HallOrders halls;
  VersionRollouts rollouts;
  std::int64_t clockMs = 0; // elapsed time of the leaders, added up
};

/** \brief How long a claim is kept, in milliseconds of `clockMs`. */
constexpr std::int64_t ClaimMemoryMs = 24LL * 3600 * 1000;

/** \brief The kinds of changes that a program applies, as control boxes tell
 * each other: a kind that one of them would skip must not be proposed.
 */
enum class ChangeLevel : std::uint32_t
{
  First = 0, // what the first programs apply; they tell no level
  HallOrders = 1,
  VersionRollouts = 2
};

/** \brief What this program applies. */
constexpr ChangeLevel OwnChangeLevel = ChangeLevel::VersionRollouts;

/** \brief What a program must apply to have this change in its log. */
ChangeLevel LevelOf(const wire::Change& change);

/** \brief A new id in the form that ApplyChange asks for: "<ms>-<random>". */
std::string MakeChangeId();

/** \brief Applies one change; the same everywhere. A refused one changes
 * nothing, but for its id, which is remembered with the answer.
 */
wire::ChangeResult ApplyChange(ServiceState& state,
                               const wire::Change& change);

/** \brief The changes after a revision; false when they go back too far. */
bool ChangesSince(const ServiceState& state, std::uint64_t revision,
                  wire::FollowReply& reply);

std::string SaveState(const ServiceState& state);
Outcome<ServiceState> LoadState(absl::string_view bytes);

} // namespace wg
