// SPDX-License-Identifier: Apache-2.0
#include "wgEndpointFile.h"

#include <utility>

#include "absl/strings/str_cat.h"

#include "wgLog.h"

namespace wg {
namespace {

constexpr const char* FileName = "endpoints";
/** Endpoints that were known longer ago may have been replaced by others. */
constexpr absl::Duration OfUseFor = absl::Minutes(1);

} // namespace

EndpointFile::EndpointFile(FileOperations& files, std::string folder)
  : file_(files, std::move(folder), FileName, RecordType::Endpoints)
{
}

std::optional<wire::RememberedEndpoints> EndpointFile::Read(
  absl::Time now) const
{
  const auto payload = file_.Read();
  if (Succeeded(payload) && !Value(payload)) {
    return std::nullopt;
  }
  wire::RememberedEndpoints remembered;
  if (!Succeeded(payload) || !remembered.ParseFromString(*Value(payload))) {
    LogChange("endpoints", "the file of known endpoints is damaged; they are "
                           "waited for");
    return std::nullopt;
  }
  const absl::Duration age =
    absl::AbsDuration(now - absl::FromUnixMillis(remembered.kept_ms()));
  if (age > OfUseFor) {
    remembered.clear_endpoints(); // what ended them is remembered for longer
  }
  return remembered;
}

void EndpointFile::Keep(wire::RememberedEndpoints endpoints,
                        std::uint64_t versions, absl::Time now)
{
  endpoints.set_kept_ms(absl::ToUnixMillis(now));
  file_.Keep(endpoints.SerializeAsString(), versions);
}

bool TakeKeepTurn(KeepTurns& turns, const KeptRevisions& revisions,
                  Elapsed now)
{
  const KeptRevisions& kept = turns.revisions;
  const bool hasVersions = kept.versions != revisions.versions;
  const bool hasNews =
    kept.endpoints != revisions.endpoints || kept.crashes != revisions.crashes;
  const absl::Duration age = now - turns.kept;
  const bool isDue = hasVersions || (hasNews && age >= KeepEndpointsPeriod) ||
                     age >= RefreshEndpointsPeriod;
  if (isDue) {
    turns = { revisions, now };
  }
  return isDue;
}

} // namespace wg
