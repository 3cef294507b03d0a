// SPDX-License-Identifier: Apache-2.0
#include "wgChecker.h"

#include <set>

#include "absl/strings/str_cat.h"

namespace wg::test {
namespace {

constexpr int StatusOk = 200;

using Violations = std::vector<std::string>;

std::map<std::string, int> SumRuns(const std::vector<RunRecord>& runs)
{
  std::map<std::string, int> sums;
  for (const RunRecord& run : runs) {
    sums[run.request] += run.runs;
  }
  return sums;
}

void CheckAnswer(const CallerRecord& caller, Violations& out)
{
  if (caller.status != StatusOk || caller.text == caller.expectedText) {
    return;
  }
  const bool cut =
    caller.expectedText.compare(0, caller.text.size(), caller.text) == 0;
  out.push_back(absl::StrCat("request ", caller.request,
                             cut ? " got a cut answer"
                                 : " got an answer that is not its own",
                             ": \"", caller.text, "\""));
}

void CheckRuns(const Observations& seen, Violations& out)
{
  const auto once = SumRuns(seen.onceRuns);
  const auto any = SumRuns(seen.anyRuns);
  std::map<std::string, int> runsOfKey;
  std::map<std::string, std::set<std::string>> requestsOfKey;
  for (const CallerRecord& caller : seen.callers) {
    auto ran = once.find(caller.request);
    const int runs = ran == once.end() ? 0 : ran->second;
    if (!caller.request.empty() && runs > 1) {
      out.push_back(
        absl::StrCat("request ", caller.request, " ran ", runs, " times"));
    }
    const bool lost =
      caller.status == StatusOk && caller.needsRun && runs == 0;
    if (lost) {
      out.push_back(absl::StrCat("request ", caller.request,
                                 " was answered but never ran"));
    }
    if (caller.run == "not_run" && any.count(caller.request) != 0) {
      out.push_back(absl::StrCat("request ", caller.request,
                                 " was called not run, but ran"));
    }
    const bool isNew = requestsOfKey[caller.key].insert(caller.request).second;
    if (!caller.key.empty() && isNew) {
      runsOfKey[caller.key] += runs;
    }
  }
  for (const auto& [key, runs] : runsOfKey) {
    if (runs > 1) {
      out.push_back(absl::StrCat("key ", key, " ran ", runs, " times"));
    }
  }
}

/** Requests that no caller got to know of ran twice at most never either. */
void CheckUnknownRuns(const Observations& seen, Violations& out)
{
  for (const auto& [request, runs] : SumRuns(seen.onceRuns)) {
    if (runs > 1) {
      out.push_back(
        absl::StrCat("request ", request, " ran ", runs, " times in all"));
    }
  }
}

void CheckRevisions(const Observations& seen, Violations& out)
{
  std::map<std::string, std::uint64_t> last;
  for (const RevisionSeen& revision : seen.inForce) {
    std::uint64_t& before = last[revision.box];
    if (revision.revision < before) {
      out.push_back(absl::StrCat("box ", revision.box, " went back from ",
                                 before, " to ", revision.revision));
    }
    before = revision.revision;
  }
  for (const AcknowledgedChange& change : seen.acknowledged) {
    auto found = seen.valueAtRevision.find(change.revision);
    const bool kept =
      change.revision <= seen.finalRevision &&
      (found == seen.valueAtRevision.end() || found->second == change.value);
    if (!kept) {
      out.push_back(absl::StrCat("the accepted revision ", change.revision,
                                 " is lost or changed"));
    }
  }
}

} // namespace

std::vector<std::string> Check(const Observations& seen)
{
  Violations out;
  for (const CallerRecord& caller : seen.callers) {
    CheckAnswer(caller, out);
  }
  CheckRuns(seen, out);
  CheckUnknownRuns(seen, out);
  CheckRevisions(seen, out);
  return out;
}

} // namespace wg::test
