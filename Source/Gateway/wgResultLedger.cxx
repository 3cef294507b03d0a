// SPDX-License-Identifier: Apache-2.0
#include "wgResultLedger.h"

#include <utility>

#include "absl/hash/hash.h"
#include "absl/strings/str_cat.h"

namespace wg {
namespace {

constexpr absl::Duration ExpiryPeriod = absl::Milliseconds(100);
/** Some hundred entries a second come; looking through them takes longer than
 * any of them is worth.
 */
constexpr absl::Duration GoneExpiryPeriod = absl::Milliseconds(500);

std::uint64_t KeyOf(absl::string_view handle)
{
  return absl::Hash<absl::string_view>()(handle);
}

} // namespace

void KeepResult(ResultLedger& ledger, const std::string& handle,
                KeptResult result)
{
  ledger.kept[handle] = std::move(result);
}

void KeepUnnamed(ResultLedger& ledger, KeptResult result)
{
  ledger.kept[absl::StrCat("#", ++ledger.unnamed)] = std::move(result);
}

std::optional<KeptResult> TakeResult(ResultLedger& ledger,
                                     const std::string& handle)
{
  auto node = ledger.kept.extract(handle);
  if (node.empty()) {
    return std::nullopt;
  }
  return std::move(node.mapped());
}

std::vector<KeptResult> TakeExpired(ResultLedger& ledger, Elapsed now)
{
  std::vector<KeptResult> expired;
  if (now < ledger.nextExpiry) {
    return expired;
  }
  ledger.nextExpiry = now + ExpiryPeriod;
  for (auto it = ledger.kept.begin(); it != ledger.kept.end();) {
    auto current = it++;
    if (now >= current->second.until) {
      expired.push_back(std::move(current->second));
      ledger.kept.erase(current);
    }
  }
  return expired;
}

void NoteGone(GoneResults& gone, absl::string_view handle, Elapsed now)
{
  if (now >= gone.nextExpiry) {
    gone.nextExpiry = now + GoneExpiryPeriod;
    absl::erase_if(gone.until,
                   [now](const auto& entry) { return now >= entry.second; });
  }
  gone.until[KeyOf(handle)] = now + GoneMemory;
}

void ForgetGone(GoneResults& gone, absl::string_view handle)
{
  gone.until.erase(KeyOf(handle));
}

bool IsGone(const GoneResults& gone, absl::string_view handle, Elapsed now)
{
  const auto found = gone.until.find(KeyOf(handle));
  return found != gone.until.end() && now < found->second;
}

} // namespace wg
