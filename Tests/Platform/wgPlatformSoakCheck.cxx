// SPDX-License-Identifier: Apache-2.0
#include "wgPlatformSoakCheck.h"

#include <set>

#include "absl/strings/str_cat.h"

namespace wg::test {
namespace {

using Findings = std::vector<std::string>;

/** These answers promise that the request has not run and never will. */
bool Promises(int status)
{
  return status == 503 || status == 429 || status == 408 || status == 421;
}

void CheckRequest(const SoakRequest& request, int runs, Findings& findings)
{
  if (request.status == 200 && request.body != request.expected) {
    findings.push_back(absl::StrCat("MIXED: the answer of ", request.id,
                                    " is not its own: ", request.body));
  }
  if (request.status == 200 && request.sealedBy.empty()) {
    findings.push_back(
      absl::StrCat("MIXED: the answer of ", request.id, " is not signed."));
  }
  if (request.status == 200 && runs == 0) {
    findings.push_back(
      absl::StrCat("MIXED: ", request.id, " was answered and never run."));
  }
  if (Promises(request.status) && runs > 0) {
    findings.push_back(absl::StrCat("REFUSED: ", request.id, " got ",
                                    request.status, " and has run."));
  }
  if (runs > 1) {
    findings.push_back(
      absl::StrCat("TWICE: ", request.id, " has run ", runs, " times."));
  }
}

} // namespace

std::vector<std::string> CheckSoak(const SoakRecord& record)
{
  Findings findings;
  std::set<std::string> known;
  for (const SoakRequest& request : record.requests) {
    known.insert(request.id);
    auto found = record.runs.find(request.id);
    CheckRequest(request, found == record.runs.end() ? 0 : found->second,
                 findings);
  }
  for (const auto& [id, runs] : record.runs) {
    if (known.count(id) == 0) {
      findings.push_back(absl::StrCat("UNASKED: ", id, " was not sent."));
    }
  }
  if (record.unsoundPieces > 0) {
    findings.push_back(absl::StrCat("MIXED: ", record.unsoundPieces,
                                    " pieces got inputs not their own."));
  }
  for (const SoakRead& read : record.reads) {
    if (read.number < read.acknowledgedBefore) {
      findings.push_back(absl::StrCat("CONFIG: ", read.number,
                                      " was read after ",
                                      read.acknowledgedBefore, " held."));
    }
  }
  if (record.readAtEnd < record.acknowledged) {
    findings.push_back(absl::StrCat("LOST: ", record.acknowledged,
                                    " was acknowledged, ", record.readAtEnd,
                                    " is held."));
  }
  if (record.unservedAtEnd > 0) {
    findings.push_back(absl::StrCat("RECOVER: ", record.unservedAtEnd,
                                    " gateways serve nothing at the end."));
  }
  return findings;
}

} // namespace wg::test
