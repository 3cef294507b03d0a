// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"

#include "wgElapsed.h"

namespace wg {

/** \brief A result that takes room at the endpoint that made it. */
struct KeptResult
{
  std::string endpoint; // id
  std::int64_t bytes = 0;
  Elapsed until; // when its maker gives it up by itself
};

/** \brief The results of one service that take room, by their handles. */
struct ResultLedger
{
  std::map<std::string, KeptResult> kept;
  std::uint64_t unnamed = 0; // so many got a name of the ledger's own
  Elapsed nextExpiry;
};

/** \brief Enters a result that an endpoint has told of. */
void KeepResult(ResultLedger& ledger, const std::string& handle,
                KeptResult result);

/** \brief Enters room that is taken by what nobody can name: a call that was
 * cut off may still have been made.
 */
void KeepUnnamed(ResultLedger& ledger, KeptResult result);

/** \brief Takes a result out, once its maker has confirmed that it is gone. */
std::optional<KeptResult> TakeResult(ResultLedger& ledger,
                                     const std::string& handle);

/** \brief Takes out what its makers have given up by themselves. Looks
 * through the ledger a few times a second only.
 */
std::vector<KeptResult> TakeExpired(ResultLedger& ledger, Elapsed now);

/** \brief Results that their makers have lately confirmed to be gone. Inputs
 * that are released early are released again when their stage ends; each time
 * would cost a call to their maker.
 */
struct GoneResults
{
  absl::flat_hash_map<std::uint64_t, Elapsed> until; // by hash of the handle
  Elapsed nextExpiry;
};

/** \brief Longer than from the time that a call has fetched its inputs to the
 * time that its time-out ends it: 2.5 times the expected time and 0.35 s, with
 * calls of up to 0.6 s.
 */
constexpr absl::Duration GoneMemory = absl::Seconds(2);

void NoteGone(GoneResults& gone, absl::string_view handle, Elapsed now);

/** \brief A result of that name has been made again. */
void ForgetGone(GoneResults& gone, absl::string_view handle);

bool IsGone(const GoneResults& gone, absl::string_view handle, Elapsed now);

} // namespace wg
