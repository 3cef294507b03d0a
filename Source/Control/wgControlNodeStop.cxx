// SPDX-License-Identifier: Apache-2.0
// The planned stop of a control box: its vote goes to a standby first.
#include "wgControlNode.h"

#include <utility>

#include <boost/asio/post.hpp>

#include "absl/strings/str_cat.h"

#include "wgLog.h"

namespace wg {
namespace {

constexpr absl::Duration CallTimeout = absl::Milliseconds(500);
/** A box that stops says so again after this. */
constexpr absl::Duration StoppingPeriod = absl::Milliseconds(50);
/** Longer than an election: then there is no quorum to hand a vote over. */
constexpr absl::Duration LeaderWait = absl::Milliseconds(1500);

} // namespace

void ControlNode::OnStopping(StoppingCall& call)
{
  wire::StoppingReply reply;
  reply.set_leads(replica_.role == ReplicaRole::Leader && !writeFailed_);
  if (reply.leads()) {
    const std::uint64_t id = call.request.id();
    stoppingReplicas_[id] = ElapsedNow();
    reply.set_should_wait(
      IsHandingOver(replica_, id, MakeRepairRules(), ElapsedNow()));
  }
  call.respond(reply.SerializeAsString());
}

void ControlNode::BeginStop(std::function<void()> done)
{
  boost::asio::post(loop_, [this, done = std::move(done)] {
    stopDone_ = done;
    stopUntil_ = ElapsedNow() + settings_.handOverLimit;
    HandOverVote();
  });
}

/** A box that has ended takes its disk out of the quorum, and if it is being
 * replaced, for good. A box without a vote says that it must not get one.
 */
void ControlNode::HandOverVote()
{
  if (!stopDone_) {
    return;
  }
  const Elapsed now = ElapsedNow();
  const std::uint64_t id = replica_.self.id();
  const bool hasStandby =
    replica_.voters.learners_size() > 0 ||
    static_cast<std::size_t>(replica_.voters.voters_size()) >
      settings_.wantedVoters ||
    replica_.votersIndex > replica_.commit;
  if (now >= stopUntil_) {
    FinishHandOver("its time is over");
  } else if (replica_.cluster.empty() || !hasStandby) {
    FinishHandOver("there is no standby");
  } else if (now - leaderHeard_ > LeaderWait) {
    FinishHandOver("there is no leader");
  } else if (replica_.role == ReplicaRole::Leader) {
    stoppingReplicas_[id] = now;
    if (!IsHandingOver(replica_, id, MakeRepairRules(), now)) {
      FinishHandOver("this box has no vote to give");
    }
  } else if (!IsVoter(replica_.voters, id) &&
             !IsLearner(replica_.voters, id) &&
             replica_.votersIndex <= replica_.commit) {
    FinishHandOver("another box has its vote");
  } else {
    TellStopping();
  }
}

void ControlNode::TellStopping()
{
  const Elapsed now = ElapsedNow();
  const std::string leader = LeaderAddress();
  if (isStoppingCalled_ || now < nextStoppingCall_ || leader.empty() ||
      leader == settings_.advertise) {
    return;
  }
  isStoppingCalled_ = true;
  nextStoppingCall_ = now + StoppingPeriod;
  wire::StoppingRequest request;
  request.set_id(replica_.self.id());
  client_->Call(leader, "/stopping", request.SerializeAsString(), CallTimeout,
                [this](const Outcome<std::string>& reply) {
                  StoppingAnswer answer;
                  wire::StoppingReply told;
                  if (Succeeded(reply) && told.ParseFromString(Value(reply))) {
                    answer.reply = std::move(told);
                  }
                  Post(std::move(answer));
                });
}

/** An older build answers nothing, which reads as a box that does not lead. */
void ControlNode::OnStoppingAnswer(const StoppingAnswer& answer)
{
  isStoppingCalled_ = false;
  const bool isOver = stopDone_ && answer.reply && answer.reply->leads() &&
                      (!answer.reply->should_wait() ||
                       !IsVoter(replica_.voters, replica_.self.id()));
  if (isOver) {
    FinishHandOver("the leader waits for nothing");
  }
}

void ControlNode::FinishHandOver(absl::string_view why)
{
  LogChange("stop", absl::StrCat("the box may end: ", why));
  std::exchange(stopDone_, nullptr)();
}

} // namespace wg
