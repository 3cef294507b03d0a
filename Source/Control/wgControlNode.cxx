// SPDX-License-Identifier: Apache-2.0
#include "wgControlNode.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include <boost/asio/post.hpp>

#include <nlohmann/json.hpp>

#include "absl/random/distributions.h"
#include "absl/strings/str_cat.h"

#include "wgConfigText.h"
#include "wgControlStatus.h"
#include "wgLog.h"

namespace wg {
namespace {

constexpr auto TickPeriod = std::chrono::milliseconds(15);
constexpr absl::Duration CallTimeout = absl::Seconds(2);
constexpr absl::Duration SnapshotTimeout = absl::Seconds(10);
constexpr absl::Duration JoinPeriod = absl::Milliseconds(500);
constexpr absl::Duration JoinerMemory = absl::Seconds(10);
constexpr absl::Duration ForwardTimeout = absl::Milliseconds(900);
constexpr std::size_t MaxMail = 20000;
constexpr std::uint64_t RetainedEntries = 500;
/** What the retained entries, and those since the last snapshot, may take. */
constexpr std::uint64_t MaxRetainedBytes = 4U << 20U;
constexpr std::uint64_t MaxBytesSinceSnapshot = 8U << 20U;

template <class... Handlers>
struct Overloaded : Handlers...
{
  using Handlers::operator()...;
};
template <class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

/** As many of the last entries as fit the bounds. */
std::uint64_t EntriesToRetain(const Replica& replica)
{
  std::uint64_t entries = 0;
  std::uint64_t bytes = 0;
  std::uint64_t index = replica.applied;
  while (entries < RetainedEntries && replica.log.Has(index)) {
    bytes += replica.log.At(index).change().size();
    if (bytes > MaxRetainedBytes) {
      break;
    }
    ++entries;
    --index;
  }
  return entries;
}

std::string Answer(wire::ChangeResult::Verdict verdict,
                   const std::string& message, const std::string& leader)
{
  wire::ChangeResult result;
  result.set_verdict(verdict);
  result.set_message(message);
  result.set_leader(leader);
  return result.SerializeAsString();
}

} // namespace

ControlNode::ControlNode(ControlSettings settings, Counters& counters)
  : settings_(std::move(settings))
  , counters_(counters)
{
}

ControlNode::~ControlNode()
{
  Stop();
}

Outcome<Done> ControlNode::Start()
{
  replica_.self.set_box(settings_.box);
  replica_.self.set_address(settings_.advertise);
  const auto identity =
    absl::Uniform<std::uint64_t>(absl::IntervalClosed, random_, 1, UINT64_MAX);
  auto opened = ReplicaStore::Open(SystemFileOperations(),
                                   settings_.dataFolder, identity, replica_);
  if (!Succeeded(opened)) {
    return Error{ Message(opened) };
  }
  store_ = std::move(Value(opened));
  if (store_->State() == FolderState::Damaged) {
    LogChange("storage",
              absl::StrCat("damaged, new identity: ", store_->Damage()));
  }
  if (!replica_.snapshot.state().empty()) {
    InstallState();
  }
  StartReplica(replica_, ElapsedNow(), random_);
  Outcome<SocketAddress> address = ParseSocketAddress(settings_.listen);
  if (!Succeeded(address)) {
    return Error{ Message(address) };
  }
  client_ = std::make_unique<PeerClient>(settings_.keys[std::string(PeerName)],
                                         PeerName);
  server_ = std::make_unique<PeerServer>(
    settings_.keys,
    [this](const PeerRequest& request, Respond respond) {
      HandlePeer(request, std::move(respond));
    },
    counters_);
  if (auto started = server_->Start(Value(address)); !Succeeded(started)) {
    return started;
  }
  rollouts_ = std::make_unique<RolloutRunner>(
    [this](wire::Change change, RolloutRunner::Answer answer) {
      ProposeOwn(std::move(change), std::move(answer));
    });
  registry_.timing = settings_.registry;
  registry_.incarnation = identity;
  FoundIfAsked();
  ArmTick();
  thread_ = std::thread([this] { loop_.run(); });
  return Done{};
}

void ControlNode::FoundIfAsked()
{
  const bool first = !settings_.controls.empty() &&
                     settings_.controls.front() == settings_.advertise;
  if (!settings_.foundAtStart || !first || !replica_.cluster.empty()) {
    return;
  }
  FoundRequest request{ [](const std::string&) {} };
  OnFound(request);
}

void ControlNode::Stop()
{
  stopping_ = true;
  loop_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
  rollouts_.reset();
  server_.reset();
  client_.reset();
}

void ControlNode::HandlePeer(const PeerRequest& request, Respond respond)
{
  const bool isPeer = request.who == PeerName;
  bool sound = true;
  if (request.path == "/change") {
    HandleChange(request, std::move(respond));
  } else if (request.path == "/status") {
    Post(StatusCall{ std::move(respond) });
  } else if (request.path == "/found") {
    Post(FoundRequest{ std::move(respond) });
  } else if (isPeer && request.path == "/agreement") {
    wire::AgreementBatch batch;
    sound = batch.ParseFromString(request.body);
    respond("");
    Post(std::move(batch));
  } else if (isPeer && request.path == "/follow") {
    FollowWaiter waiter{ {}, {}, std::move(respond) };
    sound = waiter.request.ParseFromString(request.body);
    Post(std::move(waiter));
  } else if (isPeer && request.path == "/document") {
    Post(ReadCall{ std::move(respond) });
  } else if (isPeer && request.path == "/join") {
    JoinCall call{ {}, std::move(respond) };
    sound = call.request.ParseFromString(request.body);
    Post(std::move(call));
  } else {
    sound = false;
    respond("");
  }
  if (!sound) {
    counters_.Add(Event::PeerRejected);
  }
}

/** Claims are for entries alone, and steps of a roll-out for the leader
 * itself; an operator's change bears its name.
 */
void ControlNode::HandleChange(const PeerRequest& request, Respond respond)
{
  ChangeRequest call{ {}, std::move(respond) };
  const bool parsed = call.change.ParseFromString(request.body);
  const bool isClaim =
    call.change.has_take_claim() || call.change.has_end_claim();
  const bool isInternal = call.change.has_step_rollout();
  const bool isForPeers = isClaim || call.change.has_publish();
  if (!parsed || isInternal || (isForPeers && request.who != PeerName)) {
    counters_.Add(Event::PeerRejected);
    call.respond(Answer(wire::ChangeResult::REJECTED,
                        "The change can't be read, or is not for operators.",
                        ""));
    return;
  }
  call.change.set_author(request.who);
  Post(std::move(call));
}

void ControlNode::ProposeOwn(wire::Change change, RolloutRunner::Answer answer)
{
  change.set_author(settings_.box);
  Post(ChangeRequest{ std::move(change),
                      [answer = std::move(answer)](const std::string& bytes) {
                        wire::ChangeResult result;
                        result.ParseFromString(bytes);
                        answer(result);
                      } });
}

void ControlNode::Post(Mail mail)
{
  absl::MutexLock lock(&mutex_);
  if (mail_.size() >= MaxMail) {
    counters_.Add(Event::PeerRejected);
    return;
  }
  mail_.push_back(std::move(mail));
  if (!std::exchange(stepPosted_, true)) {
    boost::asio::post(loop_, [this] { Step(); });
  }
}

std::vector<ControlNode::Mail> ControlNode::TakeMail()
{
  absl::MutexLock lock(&mutex_);
  stepPosted_ = false;
  return std::exchange(mail_, {});
}

void ControlNode::ArmTick()
{
  tick_.expires_after(TickPeriod);
  tick_.async_wait([this](boost::system::error_code error) {
    if (!error && !stopping_) {
      Step();
      ArmTick();
    }
  });
}

/** Takes all mail at once, so that one sync covers what came together. */
void ControlNode::Step()
{
  for (Mail& mail : TakeMail()) {
    Handle(std::move(mail));
  }
  TickReplica();
  CarryOutActions();
  ApplyCommitted();
  const Elapsed now = ElapsedNow();
  TickFollowers(followers_, now);
  TickRegistry(registry_, now);
  AnswerFollowers(followers_, Followed(), now);
  CompactIfDue();
  NoteRole();
  TellRolloutDuty();
}

/** While there are roll-outs, and this box leads under a lease. */
void ControlNode::TellRolloutDuty()
{
  const Elapsed now = ElapsedNow();
  RolloutDuty duty;
  const bool leads =
    !state_.config.rollouts.empty() && HoldsLease(replica_, now);
  if (leads) {
    const bool changed = rolloutConfig_ == nullptr ||
                         rolloutConfig_->revision != state_.config.revision;
    if (changed) {
      rolloutConfig_ = std::make_shared<const Config>(state_.config);
    }
    duty = { rolloutConfig_, { leadSince_, LeaseEnd(replica_, now) } };
  } else if (rolloutConfig_ == nullptr) {
    return; // as before
  } else {
    rolloutConfig_.reset();
  }
  rollouts_->SetDuty(std::move(duty));
}

void ControlNode::Handle(Mail mail)
{
  std::visit(
    Overloaded{ [this](wire::AgreementBatch& batch) {
                 if (writeFailed_) {
                   return; // silent until the disk takes what is pending
                 }
                 for (const auto& message : batch.messages()) {
                   addresses_[message.from()] = message.from_address();
                   OnMessage(replica_, message, ElapsedNow(), random_);
                 }
               },
                [this](FoundRequest& request) { OnFound(request); },
                [this](ChangeRequest& request) { OnChange(request); },
                [this](FollowWaiter& waiter) { OnFollow(std::move(waiter)); },
                [this](JoinCall& call) { OnJoin(call); },
                [this](StatusCall& call) { OnStatus(call); },
                [this](JoinAnswer& answer) { OnJoinAnswer(answer); },
                [this](ReadCall& call) {
                  call.respond(ReadOwn().SerializeAsString());
                } },
    mail);
}

void ControlNode::OnFound(FoundRequest& request)
{
  if (!replica_.cluster.empty()) {
    request.respond(Answer(wire::ChangeResult::REJECTED,
                           "This box already belongs to a cluster.",
                           LeaderAddress()));
    return;
  }
  replica_.cluster = MakeChangeId();
  if (auto saved = store_->SetCluster(replica_); !Succeeded(saved)) {
    replica_.cluster.clear();
    request.respond(Answer(wire::ChangeResult::REJECTED, Message(saved), ""));
    return;
  }
  FoundCluster(replica_, ElapsedNow());
  LogChange("cluster", "founded");
  request.respond(Answer(wire::ChangeResult::ACCEPTED, "", ""));
}

void ControlNode::OnChange(ChangeRequest& request)
{
  const Elapsed now = ElapsedNow();
  const bool leads = replica_.role == ReplicaRole::Leader && !writeFailed_;
  if (!leads) {
    request.respond(Answer(wire::ChangeResult::NOT_LEADER,
                           "This control box does not lead.",
                           LeaderAddress()));
    return;
  }
  if (request.change.has_publish() && !IsWholeAtFirst()) {
    request.respond(Answer(wire::ChangeResult::UNAVAILABLE,
                           "The cluster has too few voters yet; send it "
                           "again in a second.",
                           settings_.advertise));
    return;
  }
  if (request.change.has_take_claim()) {
    request.change.mutable_take_claim()->set_now_ms(
      clockAtLead_ + absl::ToInt64Milliseconds(now - leadSince_));
  }
  const auto index =
    Propose(replica_, request.change.SerializeAsString(), now);
  waiters_[*index] = { replica_.hard.term(), std::move(request.respond) };
}

void ControlNode::OnFollow(FollowWaiter waiter)
{
  TakeFollow(followers_, std::move(waiter), Followed(), ElapsedNow());
}

FollowedState ControlNode::Followed() const
{
  return { &state_, &registry_, KnownControls(), ElapsedNow() - leaderHeard_ };
}

/** Voters, learners, and those that ask to join, without any twice. */
std::vector<std::string> ControlNode::KnownControls() const
{
  std::set<std::string> known(settings_.controls.begin(),
                              settings_.controls.end());
  known.insert(settings_.advertise);
  for (const auto* list :
       { &replica_.voters.voters(), &replica_.voters.learners() }) {
    for (const wire::Voter& voter : *list) {
      known.insert(voter.address());
    }
  }
  const Elapsed now = ElapsedNow();
  for (const auto& [id, joiner] : joining_) {
    if (now - joiner.lastAsked < JoinerMemory) {
      known.insert(joiner.who.address());
    }
  }
  return { known.begin(), known.end() };
}

/** Until the first document there must be as many voters as are wanted: a
 * cluster that has just been founded would lose it with a single disk.
 */
bool ControlNode::IsWholeAtFirst() const
{
  return state_.document.number() > 0 ||
         static_cast<std::size_t>(replica_.voters.voters_size()) >=
           settings_.wantedVoters;
}

void ControlNode::Publish(wire::PublishDocument document,
                          const PublishAnswer& answer)
{
  if (document.number() <= state_.document.number()) {
    wire::ChangeResult held;
    held.set_verdict(wire::ChangeResult::ACCEPTED);
    answer(held);
    return;
  }
  wire::Change change;
  change.set_author(settings_.box);
  *change.mutable_publish() = std::move(document);
  auto respond = [answer](const std::string& bytes) {
    wire::ChangeResult result;
    result.ParseFromString(bytes);
    answer(result);
  };
  const std::string leader = LeaderAddress();
  const bool forward = replica_.role != ReplicaRole::Leader &&
                       !leader.empty() && leader != settings_.advertise;
  if (!forward) {
    Post(ChangeRequest{ std::move(change), respond });
    return;
  }
  client_->Call(
    leader, "/change", change.SerializeAsString(), ForwardTimeout,
    [this, respond](const Outcome<std::string>& reply) {
      const std::string bytes =
        Succeeded(reply)
          ? Value(reply)
          : wg::Answer(wire::ChangeResult::UNAVAILABLE, Message(reply), "");
      boost::asio::post(loop_, [respond, bytes] { respond(bytes); });
    });
}

wire::DocumentReply ControlNode::ReadOwn() const
{
  wire::DocumentReply reply;
  const bool applied = replica_.applied >= replica_.commit;
  if (applied && HoldsLease(replica_, ElapsedNow())) {
    reply.set_sure(true);
    reply.set_number(state_.document.number());
    reply.set_content(state_.document.content());
  }
  return reply;
}

void ControlNode::ReadDocument(const ReadAnswer& answer)
{
  const std::string leader = LeaderAddress();
  const bool own = replica_.role == ReplicaRole::Leader || leader.empty() ||
                   leader == settings_.advertise;
  if (own) {
    answer(ReadOwn());
    return;
  }
  client_->Call(leader, "/document", "", ForwardTimeout,
                [this, answer](const Outcome<std::string>& reply) {
                  wire::DocumentReply document;
                  const bool sound =
                    Succeeded(reply) && document.ParseFromString(Value(reply));
                  if (!sound) {
                    document.Clear();
                  }
                  boost::asio::post(loop_,
                                    [answer, document] { answer(document); });
                });
}

void ControlNode::Register(const wire::Registration& heartbeat)
{
  if (TakeHeartbeat(registry_, heartbeat, ElapsedNow())) {
    AnswerFollowers(followers_, Followed(), ElapsedNow());
  }
}

void ControlNode::Unregister(absl::string_view endpoint)
{
  if (TakeLeave(registry_, endpoint, ElapsedNow())) {
    AnswerFollowers(followers_, Followed(), ElapsedNow());
  }
}

void ControlNode::AddControls(std::vector<std::string> addresses)
{
  boost::asio::post(loop_, [this, addresses = std::move(addresses)] {
    auto& known = settings_.controls;
    for (const std::string& address : addresses) {
      if (std::find(known.begin(), known.end(), address) == known.end()) {
        known.push_back(address);
      }
    }
  });
}

void ControlNode::OnJoin(JoinCall& call)
{
  wire::JoinReply reply;
  reply.set_cluster(replica_.cluster);
  reply.set_leader(LeaderAddress());
  const std::uint64_t id = call.request.who().id();
  reply.set_member(IsVoter(replica_.voters, id) ||
                   IsLearner(replica_.voters, id));
  joining_[id] = { call.request.who(), ElapsedNow() };
  call.respond(reply.SerializeAsString());
}

/** Takes the cluster's name from the first box that has one. */
void ControlNode::OnJoinAnswer(const JoinAnswer& answer)
{
  if (!replica_.cluster.empty() || answer.reply.cluster().empty()) {
    return;
  }
  replica_.cluster = answer.reply.cluster();
  if (auto saved = store_->SetCluster(replica_); !Succeeded(saved)) {
    replica_.cluster.clear();
    LogChange("storage", Message(saved));
    return;
  }
  LogChange("cluster", "joining as a replica without a vote");
}

void ControlNode::OnStatus(StatusCall& call)
{
  const Elapsed now = ElapsedNow();
  nlohmann::json status = DescribeReplica(replica_, now);
  status["role"] = "control";
  status["box"] = settings_.box;
  status["hall"] = settings_.hall;
  status["revision"] = state_.config.revision;
  status["leader"] = LeaderAddress();
  status["claims"] = state_.claims.size();
  status["storage"] = writeFailed_ ? "failing" : "sound";
  status["age_ms"] = absl::ToInt64Milliseconds(now - leaderHeard_);
  status["boxes"] = DescribeBoxes(followers_.boxes, now);
  status["rollouts"] = rollouts_->Describe();
  status["config"] = PrintPublicConfig(state_.config);
  wire::StatusReply reply;
  reply.set_json(status.dump());
  call.respond(reply.SerializeAsString());
}

/** Asks the other control boxes to be taken in. */
void ControlNode::AskToJoin()
{
  const Elapsed now = ElapsedNow();
  if (now < nextJoinAsk_) {
    return;
  }
  nextJoinAsk_ = now + JoinPeriod;
  wire::JoinRequest request;
  *request.mutable_who() = replica_.self;
  request.set_cluster(replica_.cluster);
  for (const std::string& address : KnownControls()) {
    if (address == settings_.advertise) {
      continue;
    }
    client_->Call(address, "/join", request.SerializeAsString(), CallTimeout,
                  [this](Outcome<std::string> reply) {
                    JoinAnswer answer;
                    if (Succeeded(reply) &&
                        answer.reply.ParseFromString(Value(reply))) {
                      Post(std::move(answer));
                    }
                  });
  }
}

void ControlNode::TickReplica()
{
  if (ShouldAskToJoin(replica_)) {
    AskToJoin();
  }
  if (replica_.cluster.empty() || writeFailed_) {
    return;
  }
  OnTick(replica_, ElapsedNow(), random_);
  StartRepairStep();
}

void ControlNode::StartRepairStep()
{
  if (replica_.role != ReplicaRole::Leader) {
    return;
  }
  std::vector<JoiningReplica> joining;
  for (const auto& [id, joiner] : joining_) {
    joining.push_back(joiner);
  }
  const Elapsed now = ElapsedNow();
  RepairRules rules;
  rules.wanted = settings_.wantedVoters;
  rules.spareAfter = settings_.spareAfter;
  rules.replacement = { state_.replacement.lost(),
                        state_.replacement.spare() };
  const auto step = NextRepairStep(replica_, joining, rules, now);
  if (step && ProposeVoters(replica_, *step, now)) {
    LogChange("voters",
              absl::StrCat(step->voters_size(), " voters, ",
                           step->learners_size(), " without a vote"));
  }
}

/** Writes, syncs and sends, in the order that ReplicaActions states. */
void ControlNode::CarryOutActions()
{
  if (!writeFailed_) {
    pending_ = TakeActions(replica_);
  }
  SendMessages(false);
  if (!WritePending()) {
    return;
  }
  if (pending_.install) {
    InstallState();
  }
  SendMessages(true);
  pending_ = {};
  OnSynced(replica_);
}

bool ControlNode::WritePending()
{
  if (!pending_.NeedsSync()) {
    return true;
  }
  Outcome<Done> written = store_->Write(replica_, pending_);
  const bool failed = !Succeeded(written);
  if (failed != writeFailed_) {
    LogChange("storage", failed ? Message(written) : "writes again");
  }
  writeFailed_ = failed;
  if (failed) {
    FailWaiters();
  }
  return !failed;
}

void ControlNode::SendMessages(bool afterSync)
{
  std::map<std::string, wire::AgreementBatch> batches;
  bool hasSnapshot = false;
  for (OutgoingMessage& outgoing : pending_.messages) {
    if (outgoing.afterSync != afterSync) {
      continue;
    }
    const std::string address = AddressOf(outgoing.message.to());
    if (address.empty()) {
      continue;
    }
    outgoing.message.set_from_address(settings_.advertise);
    hasSnapshot |= outgoing.message.has_snapshot();
    *batches[address].add_messages() = std::move(outgoing.message);
  }
  for (const auto& [address, batch] : batches) {
    client_->Call(address, "/agreement", batch.SerializeAsString(),
                  hasSnapshot ? SnapshotTimeout : CallTimeout,
                  [](const Outcome<std::string>&) {});
  }
  if (!afterSync) {
    auto& messages = pending_.messages;
    messages.erase(std::remove_if(messages.begin(), messages.end(),
                                  [](const OutgoingMessage& outgoing) {
                                    return !outgoing.afterSync;
                                  }),
                   messages.end());
  }
}

/** From the voter set, or where the replica was last heard from; empty when
 * neither is known.
 */
std::string ControlNode::AddressOf(std::uint64_t id) const
{
  if (id == replica_.self.id()) {
    return settings_.advertise;
  }
  for (const auto* list :
       { &replica_.voters.voters(), &replica_.voters.learners() }) {
    for (const wire::Voter& voter : *list) {
      if (voter.id() == id) {
        return voter.address();
      }
    }
  }
  auto found = addresses_.find(id);
  return found == addresses_.end() ? std::string() : found->second;
}

void ControlNode::InstallState()
{
  Outcome<ServiceState> loaded = LoadState(replica_.snapshot.state());
  if (Succeeded(loaded)) {
    state_ = std::move(Value(loaded));
  } else {
    LogChange("snapshot", Message(loaded));
  }
}

void ControlNode::ApplyCommitted()
{
  if (replica_.applied < replica_.snapshot.index()) {
    replica_.applied = replica_.snapshot.index();
  }
  while (const wire::LogEntry* entry = NextCommitted(replica_)) {
    wire::ChangeResult result;
    if (entry->kind() == wire::LogEntry::CHANGE) {
      wire::Change change;
      if (change.ParseFromString(entry->change())) {
        result = ApplyChange(state_, change);
      }
    }
    auto waiter = waiters_.extract(entry->index());
    if (!waiter.empty()) {
      const bool same = waiter.mapped().term == entry->term();
      waiter.mapped().respond(
        same ? result.SerializeAsString()
             : Answer(wire::ChangeResult::UNAVAILABLE,
                      "Another leader took over; the change was not made.",
                      LeaderAddress()));
    }
    bytesSinceSnapshot_ += entry->change().size();
    Applied(replica_, entry->index());
  }
  if (replica_.role != ReplicaRole::Leader && !waiters_.empty()) {
    FailWaiters();
  }
}

void ControlNode::FailWaiters()
{
  for (auto& [index, waiter] : waiters_) {
    waiter.respond(Answer(
      wire::ChangeResult::UNAVAILABLE,
      "No quorum answered; the change may yet be made. Send it again with "
      "the same id.",
      LeaderAddress()));
  }
  waiters_.clear();
}

void ControlNode::CompactIfDue()
{
  // A snapshot writes the whole state: the larger that is, the rarer.
  const std::uint64_t after =
    std::max<std::uint64_t>(settings_.compactAfter, state_.claims.size() / 2);
  const bool due = replica_.applied >= replica_.snapshot.index() + after ||
                   bytesSinceSnapshot_ > MaxBytesSinceSnapshot;
  if (!due || writeFailed_) {
    return;
  }
  bytesSinceSnapshot_ = 0;
  Compact(replica_, SaveState(state_), EntriesToRetain(replica_));
  if (auto saved = store_->SaveSnapshot(replica_); !Succeeded(saved)) {
    LogChange("storage", Message(saved));
  }
}

std::string ControlNode::LeaderAddress() const
{
  return replica_.leader == 0 ? std::string() : AddressOf(replica_.leader);
}

void ControlNode::NoteRole()
{
  const Elapsed now = ElapsedNow();
  const bool hears = replica_.role == ReplicaRole::Leader
                       ? HoldsLease(replica_, now)
                       : replica_.leader != 0;
  if (hears) {
    leaderHeard_ = now;
  }
  if (replica_.role == loggedRole_) {
    return;
  }
  const bool changedLead =
    replica_.role == ReplicaRole::Leader || loggedRole_ == ReplicaRole::Leader;
  loggedRole_ = replica_.role;
  if (!changedLead) {
    return;
  }
  clockAtLead_ = state_.clockMs;
  leadSince_ = now;
  LogChange("replica", absl::StrCat(Name(replica_.role), " in term ",
                                    replica_.hard.term()));
}

} // namespace wg
