// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

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
 * cut off may still have been made, and an endpoint that lacks room holds
 * more than is known here.
 */
void KeepUnnamed(ResultLedger& ledger, KeptResult result);

/** \brief Takes a result out, once its maker has confirmed that it is gone. */
std::optional<KeptResult> TakeResult(ResultLedger& ledger,
                                     const std::string& handle);

/** \brief Takes out what its makers have given up by themselves. Looks
 * through the ledger a few times a second only.
 */
std::vector<KeptResult> TakeExpired(ResultLedger& ledger, Elapsed now);

} // namespace wg
