// SPDX-License-Identifier: Apache-2.0
#include "wgControlNode.h"

#include <chrono>
#include <utility>

#include <boost/asio/post.hpp>

#include <nlohmann/json.hpp>

#include "absl/random/distributions.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include "wgChangeAnswer.h"
#include "wgControlStatus.h"
#include "wgJson.h"
#include "wgLog.h"
#include "wgRunLoop.h"

namespace wg {
namespace {

constexpr auto TickPeriod = std::chrono::milliseconds(15);
constexpr std::size_t MaxMail = 20000;
constexpr absl::Duration CrashExpiryPeriod = absl::Seconds(1);

template <class... Handlers>
struct Overloaded : Handlers...
{
  using Handlers::operator()...;
};
template <class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

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
  StartExchange();
  registry_.timing = settings_.registry;
  registry_.incarnation = identity;
  RecallKnownEndpoints();
  RecallEnds();
  RecallOrigins();
  FoundIfAsked();
  ArmTick();
  thread_ = std::thread([this] {
    RunLoop(loop_, [](absl::string_view what) {
      LogChange("handler threw", std::string(what));
    });
  });
  return Done{};
}

void ControlNode::RecallKnownEndpoints()
{
  endpointFile_ = std::make_unique<EndpointFile>(SystemFileOperations(),
                                                 settings_.dataFolder);
  const auto remembered = endpointFile_->Read(absl::Now());
  RecallVersions(versions_, remembered ? &*remembered : nullptr,
                 settings_.foundAtStart, ElapsedNow());
  if (remembered) {
    RecallEndpoints(registry_, *remembered, ElapsedNow());
    for (const wire::Crash& crash : remembered->crashes()) {
      MergeCrash(crashes_, crash, ElapsedNow());
    }
    LogChange("endpoints",
              absl::StrCat(registry_.endpoints.size(), " of ",
                           versions_.versions.size(),
                           " versions are known from before the start, and ",
                           crashes_.quarantined.size(),
                           " requests or parts of prompts that end them"));
  }
}

void ControlNode::KeepKnownEndpoints()
{
  const Elapsed now = ElapsedNow();
  if (now >= nextCrashExpiry_) {
    nextCrashExpiry_ = now + CrashExpiryPeriod;
    ExpireCrashes(crashes_, now);
  }
  const KeptRevisions revisions{ registry_.revision, crashes_.revision,
                                 versions_.revision };
  const bool isUnwritten =
    endpointFile_->WrittenVersions() < versions_.revision &&
    now - keepTurns_.kept >= KeepEndpointsPeriod;
  if (!TakeKeepTurn(keepTurns_, revisions, now) && !isUnwritten) {
    return;
  }
  keepTurns_.kept = now;
  wire::RememberedEndpoints known = RememberEndpoints(registry_);
  RememberVersions(versions_, known);
  for (const auto& [key, record] : crashes_.records) {
    *known.add_crashes() = MakeCrashMessage(key, record, now);
  }
  endpointFile_->Keep(std::move(known), versions_.revision, absl::Now());
}

/** News that came together goes out together: at each of a thousand calls a
 * second all that wait would be looked at.
 */
void ControlNode::AnswerIfDue()
{
  const Elapsed now = ElapsedNow();
  if (now < nextAnswers_) {
    return;
  }
  nextAnswers_ = now + absl::FromChrono(TickPeriod);
  AnswerFollowers(followers_, Followed(), now);
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
  endpointFile_.reset();
  originFile_.reset();
  endFile_.reset();
  server_.reset();
  client_.reset();
  exchange_.reset(); // the client's thread posts its answers
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
  } else if (isPeer && request.path == "/document-chunk") {
    ChunkCall call{ {}, std::move(respond) };
    sound = call.request.ParseFromString(request.body);
    Post(std::move(call));
  } else if (isPeer && request.path == "/crashes") {
    CrashesCall call{ {}, std::move(respond) };
    sound = call.news.ParseFromString(request.body);
    Post(std::move(call));
  } else if (isPeer && request.path == "/stream-origin") {
    OriginCall call{ {}, std::move(respond) };
    sound = call.ask.ParseFromString(request.body);
    Post(std::move(call));
  } else if (isPeer && request.path == "/stream-origins") {
    OriginCopies call{ {}, std::move(respond), 0, {} };
    sound = call.copies.ParseFromString(request.body);
    Post(std::move(call));
  } else if (isPeer && request.path == "/endpoint-ends") {
    EndsCall call{ {}, std::move(respond), 0, {} };
    sound = call.ends.ParseFromString(request.body);
    Post(std::move(call));
  } else if (isPeer && request.path == "/document") {
    Post(ReadCall{ std::move(respond) });
  } else if (isPeer && request.path == "/stopping") {
    StoppingCall call{ {}, std::move(respond) };
    sound = call.request.ParseFromString(request.body);
    Post(std::move(call));
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
  const bool isInternal =
    call.change.has_step_rollout() || call.change.has_move_version();
  const bool isForPeers =
    isClaim || call.change.has_publish() || call.change.has_order_version();
  if (!parsed || isInternal || (isForPeers && request.who != PeerName)) {
    counters_.Add(Event::PeerRejected);
    call.respond(PrintChangeResult(
      wire::ChangeResult::REJECTED,
      "The change can't be read, or is not for operators.", ""));
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

/** Has the next step taken soon. From any thread. */
void ControlNode::Wake()
{
  absl::MutexLock lock(&mutex_);
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
  HandOverVote();
  TickReplica();
  CarryOutActions();
  ApplyCommitted();
  NoteHallOrders();
  const Elapsed now = ElapsedNow();
  TickFollowers(followers_, now);
  TickRegistry(registry_, now);
  NoteVersions();
  KeepKnownEndpoints();
  ReleaseHeartbeats();
  KeepEnds();
  KeepOrigins();
  NoteControls();
  MoveRollouts();
  AnswerIfDue();
  CompactIfDue();
  NoteRole();
  NoteResends();
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
  std::visit(Overloaded{
               [this](wire::AgreementBatch& batch) {
                 if (writeFailed_) {
                   return; // silent until the disk takes what is pending
                 }
                 for (const auto& message : batch.messages()) {
                   addresses_[message.from()] = message.from_address();
                   levels_[message.from()] = message.knows();
                   OnMessage(replica_, message, ElapsedNow(), random_);
                 }
               },
               [this](FoundRequest& request) { OnFound(request); },
               [this](ChangeRequest& request) { OnChange(request); },
               [this](FollowWaiter& waiter) { OnFollow(std::move(waiter)); },
               [this](JoinCall& call) { OnJoin(call); },
               [this](StatusCall& call) { OnStatus(call); },
               [this](CrashesCall& call) { OnCrashes(call); },
               [this](OriginCall& call) { OnOrigin(call); },
               [this](OriginCopies& call) { OnOriginCopies(std::move(call)); },
               [this](EndsCall& call) { OnEnds(std::move(call)); },
               [this](EndsAnswer& answer) { OnEndsAnswer(answer); },
               [this](StoppingCall& call) { OnStopping(call); },
               [this](StoppingAnswer& answer) { OnStoppingAnswer(answer); },
               [this](JoinAnswer& answer) { OnJoinAnswer(answer); },
               [this](const NotDeliveredMail& mail) {
                 OnDeliveryFailed(replica_, mail.to, mail.sentUs);
               },
               [this](ChunkCall& call) {
                 call.respond(ReadChunk(packed_, state_.document, call.request)
                                .SerializeAsString());
               },
               [this](ReadCall& call) {
                 call.respond(ReadOwn().SerializeAsString());
               } },
             mail);
}

void ControlNode::OnFound(FoundRequest& request)
{
  if (!replica_.cluster.empty()) {
    request.respond(PrintChangeResult(wire::ChangeResult::REJECTED,
                                      "This box already belongs to a cluster.",
                                      LeaderAddress()));
    return;
  }
  replica_.cluster = MakeChangeId();
  if (auto saved = store_->SaveIdentity(replica_); !Succeeded(saved)) {
    replica_.cluster.clear();
    request.respond(
      PrintChangeResult(wire::ChangeResult::REJECTED, Message(saved), ""));
    return;
  }
  BootstrapCluster(replica_, ElapsedNow());
  LogChange("cluster", "founded");
  request.respond(PrintChangeResult(wire::ChangeResult::ACCEPTED, "", ""));
}

void ControlNode::OnChange(ChangeRequest& request)
{
  const Elapsed now = ElapsedNow();
  const bool leads = replica_.role == ReplicaRole::Leader && !writeFailed_;
  if (!leads) {
    request.respond(PrintChangeResult(wire::ChangeResult::NOT_LEADER,
                                      "This control box does not lead.",
                                      LeaderAddress()));
    return;
  }
  if (request.change.has_publish() && !IsWholeAtFirst()) {
    request.respond(
      PrintChangeResult(wire::ChangeResult::UNAVAILABLE,
                        "The cluster has too few voters yet; send it "
                        "again in a second.",
                        settings_.advertise));
    return;
  }
  if (!IsAppliedByAll(LevelOf(request.change))) {
    request.respond(
      PrintChangeResult(wire::ChangeResult::UNAVAILABLE,
                        "A control box runs an older program, which does not "
                        "know such orders; send it again once all are "
                        "updated.",
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

/** A gateway tells what it noted; all that follow hear of it. */
void ControlNode::OnCrashes(CrashesCall& call)
{
  const std::set<CrashSuspect> before = crashes_.quarantined;
  for (const wire::Crash& crash : call.news.crashes()) {
    MergeCrash(crashes_, crash, ElapsedNow());
  }
  if (crashes_.quarantined != before) {
    LogChange("quarantine", absl::StrCat(crashes_.quarantined.size(),
                                         " requests or parts of prompts are "
                                         "sent to no endpoint"));
  }
  wire::CrashesReply reply;
  reply.set_taken(true);
  call.respond(reply.SerializeAsString());
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
  status["halls"] = DescribeHalls(state_.halls);
  status["change_level"] = static_cast<std::uint32_t>(settings_.changeLevel);
  status["quarantined"] = crashes_.quarantined.size();
  status["rollouts"] = rollouts_->Describe();
  status["config"] = PrintPublicConfig(state_.config);
  wire::StatusReply reply;
  reply.set_json(PrintJson(status));
  call.respond(reply.SerializeAsString());
}

} // namespace wg
