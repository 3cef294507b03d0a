// SPDX-License-Identifier: Apache-2.0
// A control box's part for streams: which service and version began them.
#include "wgControlNode.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

#include "wgLog.h"
#include "wgOriginMessages.h"

namespace wg {
namespace {

constexpr const char* OriginFileName = "origins";
/** A disk that takes nothing is tried again so often. */
constexpr absl::Duration RewritePause = absl::Milliseconds(250);
/** Some thousand origins; or as much as the file had after the last rewrite,
 * so that a large table is rewritten as it has doubled.
 */
constexpr std::size_t MinAppendedBytes = 256U << 10U;
/** Gateways try another box long before. */
constexpr absl::Duration MaxHoldTime = absl::Seconds(2);

} // namespace

void ControlNode::OnOrigin(OriginCall& call) const
{
  const Elapsed now = ElapsedNow();
  wire::StreamOriginAnswer answer;
  const std::string& request = call.ask.request();
  if (const OriginRecord* kept = FindOrigin(origins_, request, now)) {
    *answer.mutable_origin() = DescribeOrigin(request, *kept, now);
  }
  const std::vector<std::string> services(call.ask.services().begin(),
                                          call.ask.services().end());
  for (const StreamOrigin& served : ServedVersions(versions_, services)) {
    wire::StreamOrigin& possible = *answer.add_possible();
    possible.set_service(served.service);
    possible.set_version(served.version);
  }
  answer.set_is_whole(IsWholeHistory(versions_, now));
  for (const auto* list :
       { &replica_.voters.voters(), &replica_.voters.learners() }) {
    for (const wire::Voter& voter : *list) {
      answer.add_members(voter.address());
    }
  }
  call.respond(answer.SerializeAsString());
}

/** They are written before the gateway is answered; the sync follows. */
void ControlNode::OnOriginCopies(OriginCopies call)
{
  call.since = ElapsedNow();
  detail::KeepCopies(origins_, call.copies, call.since);
  call.revision = ++originsTaken_;
  originFile_->Append(call.copies.SerializeAsString(), call.revision);
  unwrittenOrigins_.push_back(std::move(call));
}

void ControlNode::RecallOrigins()
{
  originFile_ = std::make_unique<JournalFile>(
    SystemFileOperations(), settings_.dataFolder, OriginFileName,
    RecordType::Origins, [this] { Wake(); });
  const Elapsed now = ElapsedNow();
  for (const std::string& payload : originFile_->Read()) {
    wire::StreamOrigins kept;
    if (!kept.ParseFromString(payload)) {
      LogChange("origins", "a record of streams' origins can't be read");
      continue;
    }
    detail::KeepCopies(origins_, kept, now);
  }
  if (!origins_.byRequest.empty()) {
    LogChange("origins", absl::StrCat(origins_.byRequest.size(),
                                      " streams are known from before"));
  }
}

void ControlNode::KeepOrigins()
{
  const Elapsed now = ElapsedNow();
  const JournalProgress progress = originFile_->Progress();
  const bool isDue =
    progress.needsRewrite ||
    progress.appendedBytes > std::max(MinAppendedBytes, originsFileBytes_);
  if (isDue && now >= nextOriginRewrite_) {
    nextOriginRewrite_ = now + RewritePause;
    ExpireOrigins(origins_, now);
    wire::StreamOrigins kept;
    for (const auto& [request, record] : origins_.byRequest) {
      *kept.add_origins() = DescribeOrigin(request, record, now);
    }
    const std::string payload = kept.SerializeAsString();
    originsFileBytes_ = payload.size();
    originFile_->Rewrite(payload, originsTaken_);
  }
  AnswerOrigins();
}

void ControlNode::AnswerOrigins()
{
  if (unwrittenOrigins_.empty()) {
    return;
  }
  const Elapsed now = ElapsedNow();
  const std::uint64_t written = originFile_->Progress().written;
  const auto isDone = [&](const OriginCopies& call) {
    const bool isWritten = call.revision <= written;
    if (!isWritten && now - call.since < MaxHoldTime) {
      return false;
    }
    call.respond(isWritten ? std::string(OriginsKeptReply) : "");
    return true;
  };
  unwrittenOrigins_.erase(
    std::remove_if(unwrittenOrigins_.begin(), unwrittenOrigins_.end(), isDone),
    unwrittenOrigins_.end());
}

} // namespace wg
