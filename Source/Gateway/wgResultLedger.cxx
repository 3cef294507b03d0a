// SPDX-License-Identifier: Apache-2.0
#include "wgResultLedger.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace wg {
namespace {

constexpr absl::Duration ExpiryPeriod = absl::Milliseconds(100);

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

} // namespace wg
