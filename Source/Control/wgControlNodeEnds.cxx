// SPDX-License-Identifier: Apache-2.0
// A control box's part for endpoints that drain or end: what is acknowledged
// is on as many disks as it must outlast.
#include "wgControlNode.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include "wgControlChoice.h"
#include "wgLog.h"

namespace wg {
namespace {

constexpr const char* EndFileName = "ends";
constexpr absl::string_view EndsKeptReply = "kept";
/** An older build, which knows no ends, answers nothing. */
constexpr absl::string_view EndsNotKeptReply = "not kept";
constexpr absl::Duration CallTimeout = absl::Milliseconds(500);
constexpr absl::Duration RetryPause = absl::Milliseconds(100);
/** A disk that takes nothing is tried again so often. */
constexpr absl::Duration RewritePause = absl::Milliseconds(250);
/** Some thousand ends. */
constexpr std::size_t MaxAppendedBytes = 256U << 10U;
/** A box whose disk takes nothing for longer tells gateways all the same. */
constexpr absl::Duration MaxHoldTime = absl::Seconds(2);

std::string SerializeForFile(wire::EndpointEnds ends)
{
  ends.set_kept_ms(absl::ToUnixMillis(absl::Now()));
  return ends.SerializeAsString();
}

} // namespace

/** The clock may have been stepped since: nothing ends in the future, and what
 * is older than EndMemory is forgotten.
 */
void ControlNode::RecallEnds()
{
  endFile_ = std::make_unique<JournalFile>(
    SystemFileOperations(), settings_.dataFolder, EndFileName,
    RecordType::EndpointEnds, [this] { Wake(); });
  const Elapsed now = ElapsedNow();
  const absl::Time clock = absl::Now();
  for (const std::string& payload : endFile_->Read()) {
    wire::EndpointEnds kept;
    if (!kept.ParseFromString(payload)) {
      LogChange("ends", "a record of ends can't be read");
      continue;
    }
    const absl::Duration age = std::max(
      clock - absl::FromUnixMillis(kept.kept_ms()), absl::ZeroDuration());
    for (wire::Registration& end : *kept.mutable_ends()) {
      if (end.state() == wire::Registration::GONE) {
        end.set_ended_ago_ms(end.ended_ago_ms() +
                             absl::ToInt64Milliseconds(age));
      }
      if (!end.version().empty()) {
        NoteServing(versions_, end.service(), end.version(), now);
      }
      TakeEnd(registry_, end, now);
      NoteEnd(ends_, end, true, now);
    }
  }
  ExpireEnds(ends_, now);
  if (!ends_.ends.empty()) {
    LogChange("ends",
              absl::StrCat(ends_.ends.size(),
                           " ends of endpoints are known from before"));
  }
}

void ControlNode::KeepDraining(const wire::Registration& heartbeat,
                               KeptAnswer answer)
{
  const std::uint64_t revision = KeepEnd(heartbeat, true);
  endWaiters_.push_back(
    { revision, ElapsedNow() + KeepEndTimeout, std::move(answer) });
  Wake();
}

/** \return the revision that has to be kept */
std::uint64_t ControlNode::KeepEnd(const wire::Registration& end, bool isOwn)
{
  const Elapsed now = ElapsedNow();
  const std::uint64_t before = ends_.revision;
  const std::uint64_t revision = NoteEnd(ends_, end, isOwn, now);
  if (ends_.revision != before) {
    wire::EndpointEnds record;
    *record.add_ends() = end;
    endFile_->Append(SerializeForFile(std::move(record)), revision);
  }
  return revision;
}

/** Another control box was told of ends. Boxes hear of an endpoint once a
 * restart would not forget its version.
 */
void ControlNode::OnEnds(EndsCall call)
{
  call.since = ElapsedNow();
  for (const wire::Registration& end : call.ends.ends()) {
    call.revision = std::max(call.revision, KeepEnd(end, false));
  }
  unsyncedEnds_.push_back(std::move(call));
}

void ControlNode::TakeSyncedEnds()
{
  const Elapsed now = ElapsedNow();
  const auto isDone = [&](const EndsCall& call) {
    const bool isSynced = call.revision <= ends_.synced;
    if (!isSynced && now - call.since < MaxHoldTime) {
      return false;
    }
    for (const wire::Registration& end : call.ends.ends()) {
      if (!end.version().empty()) {
        NoteServing(versions_, end.service(), end.version(), now);
      }
      TakeEnd(registry_, end, now);
    }
    call.respond(std::string(isSynced ? EndsKeptReply : EndsNotKeptReply));
    return true;
  };
  unsyncedEnds_.erase(
    std::remove_if(unsyncedEnds_.begin(), unsyncedEnds_.end(), isDone),
    unsyncedEnds_.end());
}

void ControlNode::KeepEnds()
{
  const Elapsed now = ElapsedNow();
  const JournalProgress progress = endFile_->Progress();
  ends_.synced = std::max(ends_.synced, progress.synced);
  const bool isDue =
    progress.needsRewrite || progress.appendedBytes > MaxAppendedBytes;
  if (isDue && now >= nextEndRewrite_) {
    nextEndRewrite_ = now + RewritePause;
    ExpireEnds(ends_, now);
    endFile_->Rewrite(SerializeForFile(DescribeEnds(ends_, now)),
                      ends_.revision);
  }
  TakeSyncedEnds();
  SendEnds();
  AnswerEnds();
}

/** Where all boxes follow all control boxes, all of these are told; else those
 * that vote, and the others hear of it by the exchange.
 */
std::vector<std::string> ControlNode::EndHolders() const
{
  std::vector<std::string> holders = KnownControls();
  if (holders.size() > MaxFollowedByAll) {
    holders.clear();
    for (const wire::Voter& voter : replica_.voters.voters()) {
      holders.push_back(voter.address());
    }
  }
  holders.erase(
    std::remove(holders.begin(), holders.end(), settings_.advertise),
    holders.end());
  return holders;
}

/** One more than may be lost at once. Boxes of an older build hold none. */
std::size_t ControlNode::EndCopiesNeeded() const
{
  const std::vector<std::string> holders = EndHolders();
  const auto able = static_cast<std::size_t>(std::count_if(
    holders.begin(), holders.end(), [this](const std::string& address) {
      const auto found = ends_.holders.find(address);
      return found == ends_.holders.end() || found->second.takesEnds;
    }));
  return std::min(settings_.wantedVoters / 2, able) + 1;
}

void ControlNode::SendEnds()
{
  if (ends_.ends.empty()) {
    return;
  }
  const Elapsed now = ElapsedNow();
  for (const std::string& address : EndHolders()) {
    EndLink& link = endLinks_[address];
    if (link.isCalling || now < link.next) {
      continue;
    }
    std::uint64_t upTo = 0;
    const wire::EndpointEnds news = NextEndsFor(ends_, address, now, upTo);
    if (news.ends().empty()) {
      ends_.holders[address].held = upTo;
      continue;
    }
    link.isCalling = true;
    client_->Call(address, "/endpoint-ends", news.SerializeAsString(),
                  CallTimeout,
                  [this, address, upTo](const Outcome<std::string>& reply) {
                    EndsAnswer answer{ address, upTo, std::nullopt };
                    if (Succeeded(reply)) {
                      answer.reply = Value(reply);
                    }
                    Post(std::move(answer));
                  });
  }
}

void ControlNode::OnEndsAnswer(const EndsAnswer& answer)
{
  EndLink& link = endLinks_[answer.address];
  EndHolder& holder = ends_.holders[answer.address];
  link.isCalling = false;
  const bool isKept = answer.reply && *answer.reply == EndsKeptReply;
  if (isKept) {
    holder.held = std::max(holder.held, answer.upTo);
    holder.takesEnds = true;
    return;
  }
  holder.takesEnds &= !(answer.reply && answer.reply->empty());
  link.next = ElapsedNow() + RetryPause;
}

void ControlNode::AnswerEnds()
{
  if (endWaiters_.empty()) {
    return;
  }
  const Elapsed now = ElapsedNow();
  const std::size_t needed = EndCopiesNeeded();
  std::vector<EndWaiter> waiting;
  for (EndWaiter& waiter : std::exchange(endWaiters_, {})) {
    const bool isKept = IsHeldBy(ends_, waiter.revision, needed);
    if (!isKept && now < waiter.until) {
      waiting.push_back(std::move(waiter));
      continue;
    }
    counters_.Add(isKept ? Event::EndKept : Event::EndNotKept);
    waiter.answer(isKept);
  }
  endWaiters_.insert(endWaiters_.end(),
                     std::make_move_iterator(waiting.begin()),
                     std::make_move_iterator(waiting.end()));
}

} // namespace wg
