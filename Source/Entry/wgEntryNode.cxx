// SPDX-License-Identifier: Apache-2.0
#include "wgEntryNode.h"

#include <algorithm>
#include <array>
#include <utility>

#include <nlohmann/json.hpp>
#include <poll.h>
#include <sys/socket.h>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include "wgEntryStatus.h"
#include "wgJson.h"
#include "wgLog.h"

namespace wg {
namespace {

constexpr absl::Duration TickPeriod = absl::Milliseconds(10);
constexpr absl::Duration WatchPeriod = absl::Milliseconds(500);
constexpr absl::Duration WatchTimeout = absl::Milliseconds(300);
constexpr absl::Duration StopPoll = absl::Milliseconds(20);
constexpr std::int64_t MaxReportedLoad = 1000000;
constexpr std::size_t MaxAccountsTold = 400;
constexpr std::size_t MaxDatagram = 65000;
constexpr std::size_t SignatureBytes = 64; // hex of SHA-256

using Json = nlohmann::json;

/** What an endpoint says is not believed beyond reason. */
int BoundedLoad(const Json& load, const char* key)
{
  return static_cast<int>(
    std::clamp<std::int64_t>(IntOr(load, key, 0), 0, MaxReportedLoad));
}

/** Takes an endpoint's own word of its load and of its leaving. */
void TakeLoadReport(EndpointState& endpoint, const Json& load)
{
  endpoint.report.running = BoundedLoad(load, "running");
  endpoint.report.waiting = BoundedLoad(load, "waiting");
  endpoint.report.ownRunning = endpoint.running;
  endpoint.report.at = ElapsedNow();
  endpoint.reportsLeaving = BoolOr(load, "leaving", false);
  endpoint.reportsReady = BoolOr(load, "ready", true);
}

/** What runs of the accounts that have a limit over all boxes. */
std::vector<wire::AccountRunning> LimitedAccounts(Blackboard& board)
{
  const std::shared_ptr<const Config> config = CurrentConfig(board);
  std::vector<wire::AccountRunning> accounts;
  absl::MutexLock lock(&board.accounts.mutex);
  for (const auto& [name, use] : board.accounts.uses) {
    const AccountConfig* account =
      config == nullptr ? nullptr : FindAccount(*config, name);
    const bool tells = account != nullptr && account->concurrency > 0 &&
                       use.running > 0 && accounts.size() < MaxAccountsTold;
    if (tells) {
      wire::AccountRunning& running = accounts.emplace_back();
      running.set_account(name);
      running.set_running(use.running);
    }
  }
  return accounts;
}

/** One endpoint to ask for its load. */
struct WatchTarget
{
  std::string group;
  std::size_t index = 0;
  EndpointAddress address;
};

} // namespace

EntryNode::EntryNode(EntrySettings settings)
  : settings_(std::move(settings))
{
  board_.box = settings_.box;
  board_.hall = settings_.hall;
  absl::MutexLock lock(&board_.members.mutex);
  Membership& membership = board_.members.membership;
  membership.seeds = settings_.seeds;
  membership.self.set_box(settings_.box);
  membership.self.set_hall(settings_.hall);
  membership.self.set_address(settings_.peerAddress);
  // Orders this process after its predecessors on the same box only.
  membership.self.set_incarnation(
    static_cast<std::uint64_t>(absl::ToUnixMicros(absl::Now())));
}

EntryNode::~EntryNode()
{
  std::atomic<bool> hurry{ true };
  Stop(hurry);
}

Outcome<Done> EntryNode::Start()
{
  Outcome<SocketAddress> listen = ParseSocketAddress(settings_.listen);
  Outcome<SocketAddress> peer = ParseSocketAddress(settings_.peerAddress);
  for (const auto* address : { &listen, &peer }) {
    if (!Succeeded(*address)) {
      return Error{ Message(*address) };
    }
  }
  Outcome<FileDescriptor> socket = BindUdp(Value(peer));
  if (!Succeeded(socket)) {
    return Error{ Message(socket) };
  }
  gossipSocket_ = std::move(Value(socket));
  client_ = std::make_unique<PeerClient>(settings_.keys[std::string(PeerName)],
                                         PeerName);
  changes_ = std::make_unique<ChangeClient>(*client_, settings_.controls);
  claimEnder_ = std::make_unique<ClaimEnder>(*changes_);
  peers_ = std::make_unique<PeerServer>(
    settings_.keys,
    [this](const PeerRequest& request, const PeerServer::Respond& respond) {
      HandlePeer(request, respond);
    },
    board_.counters);
  if (auto started = peers_->Start(Value(peer)); !Succeeded(started)) {
    return started;
  }
  callers_ = std::make_unique<CallerServer>(
    RunnerContext{ board_, endpoints_, *changes_, *claimEnder_ },
    settings_.limits);
  if (auto started = callers_->Start(Value(listen)); !Succeeded(started)) {
    return started;
  }
  StartThread(&EntryNode::FollowConfig);
  StartThread(&EntryNode::Gossip);
  StartThread(&EntryNode::WatchEndpoints);
  StartThread(&EntryNode::Tick);
  if (!settings_.platform.empty()) {
    StartThread(&EntryNode::WatchPlatform);
  }
  return Done{};
}

void EntryNode::StartThread(void (EntryNode::*loop)())
{
  threads_.emplace_back([this, loop] {
    while (!ending_) {
      (this->*loop)();
    }
  });
}

int EntryNode::Stop(const std::atomic<bool>& hurry)
{
  if (callers_ == nullptr) {
    return 0;
  }
  if (!board_.stopping.exchange(true)) {
    LogChange("stop", "asked for: not ready from now on");
  }
  {
    absl::MutexLock lock(&board_.members.mutex);
    board_.members.membership.self.set_leaving(true);
  }
  const Elapsed settled = ElapsedNow() + settings_.settleTime;
  const Elapsed limit = settled + settings_.stopLimit;
  while (!hurry && ElapsedNow() < settled) {
    absl::SleepFor(StopPoll);
  }
  board_.draining = true;
  while (!hurry && board_.inFlight > 0 && ElapsedNow() < limit) {
    absl::SleepFor(StopPoll);
  }
  const int cut = board_.inFlight;
  if (cut > 0) {
    board_.counters.Add(Event::CutAtStop, static_cast<std::uint64_t>(cut));
    endpoints_.BreakOffLateCalls(absl::InfiniteDuration());
  }
  callers_.reset();
  ending_ = true;
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
  claimEnder_.reset();
  peers_.reset();
  client_.reset();
  LogChange("stop", absl::StrCat("done, ", cut, " requests cut"));
  return cut;
}

void EntryNode::Gossip()
{
  SendGossip(gossipSocket_);
  RefreshShares(board_, ElapsedNow());
  absl::Duration period;
  {
    absl::MutexLock lock(&board_.members.mutex);
    period = board_.members.membership.timing.period;
  }
  const Elapsed next = ElapsedNow() + period;
  while (!ending_ && ElapsedNow() < next) {
    pollfd polled{ gossipSocket_.Get(), POLLIN, 0 };
    const auto left = absl::ToInt64Milliseconds(next - ElapsedNow());
    poll(&polled, 1, static_cast<int>(std::max<std::int64_t>(left, 1)));
    ReceiveGossip(gossipSocket_);
  }
}

void EntryNode::SendGossip(const FileDescriptor& socket)
{
  const std::vector<wire::Demand> demands = OwnDemands(board_);
  const std::vector<wire::AccountRunning> accounts = LimitedAccounts(board_);
  std::vector<GossipMessage> messages;
  {
    absl::MutexLock lock(&board_.members.mutex);
    wire::Member& self = board_.members.membership.self;
    SetOwnDemands(board_.members.membership, demands);
    *self.mutable_accounts() = { accounts.begin(), accounts.end() };
    messages = NextGossip(board_.members.membership, ElapsedNow(),
                          board_.members.random);
  }
  const std::string& key = settings_.keys[std::string(PeerName)];
  for (const GossipMessage& message : messages) {
    Outcome<SocketAddress> to = ParseSocketAddress(message.address);
    if (!Succeeded(to)) {
      continue;
    }
    const std::string body = message.gossip.SerializeAsString();
    const std::string datagram =
      SignRequest(key, PeerName, "gossip", "", body) + body;
    SendUdp(socket, Value(to), datagram);
    board_.counters.Add(Event::PeerMessage);
    board_.counters.Add(Event::PeerBytes, datagram.size());
  }
}

void EntryNode::ReceiveGossip(const FileDescriptor& socket)
{
  std::string buffer(MaxDatagram, '\0');
  const std::string& key = settings_.keys[std::string(PeerName)];
  for (;;) {
    const ssize_t got = recv(socket.Get(), buffer.data(), buffer.size(), 0);
    if (got < 0) {
      return;
    }
    const absl::string_view bytes(buffer.data(),
                                  static_cast<std::size_t>(got));
    const absl::string_view signature = bytes.substr(0, SignatureBytes);
    const absl::string_view body =
      bytes.substr(std::min(SignatureBytes, bytes.size()));
    wire::Gossip gossip;
    const bool genuine =
      SameSignature(SignRequest(key, PeerName, "gossip", "", body),
                    signature) &&
      gossip.ParseFromArray(body.data(), static_cast<int>(body.size()));
    if (!genuine) {
      board_.counters.Add(Event::PeerRejected);
      continue;
    }
    absl::MutexLock lock(&board_.members.mutex);
    MergeGossip(board_.members.membership, gossip, ElapsedNow());
  }
}

/** Asks each endpoint for its load and whether it is leaving. */
void EntryNode::WatchEndpoints()
{
  const Elapsed next = ElapsedNow() + WatchPeriod;
  std::vector<WatchTarget> targets;
  {
    absl::MutexLock lock(&board_.groups.mutex);
    for (const auto& [name, group] : board_.groups.groups) {
      for (std::size_t i = 0; i < group.endpoints.size(); ++i) {
        const EndpointState& endpoint = group.endpoints[i];
        if (!endpoint.removed) {
          targets.push_back({ name, i, { endpoint.address, endpoint.port } });
        }
      }
    }
  }
  std::atomic<std::size_t> nextTarget{ 0 };
  const auto watch = [this, &targets, &nextTarget] {
    for (std::size_t i = nextTarget++; i < targets.size() && !ending_;
         i = nextTarget++) {
      const WatchTarget& target = targets[i];
      const std::string text =
        FetchText(target.address, "/v1/load", WatchTimeout);
      const Json load = Json::parse(text, nullptr, false);
      absl::MutexLock lock(&board_.groups.mutex);
      EndpointState& endpoint =
        board_.groups.groups[target.group].endpoints[target.index];
      NoteLoadPoll(endpoint, load.is_object());
      if (load.is_object()) {
        TakeLoadReport(endpoint, load);
      }
    }
  };
  std::array<std::thread, 4> watchers;
  for (std::thread& watcher : watchers) {
    watcher = std::thread(watch);
  }
  for (std::thread& watcher : watchers) {
    watcher.join();
  }
  while (!ending_ && ElapsedNow() < next) {
    absl::SleepFor(StopPoll);
  }
}

/** Asks the platform which boxes are leaving. A box that is not in its list,
 * which lags, is not taken for dead.
 */
void EntryNode::WatchPlatform()
{
  const Elapsed next = ElapsedNow() + WatchPeriod;
  Outcome<SocketAddress> address = ParseSocketAddress(settings_.platform);
  const std::string text =
    Succeeded(address)
      ? FetchText({ Value(address).host, Value(address).port }, "/v1/boxes",
                  WatchTimeout)
      : std::string();
  const Json list = Json::parse(text, nullptr, false);
  if (list.is_array()) {
    absl::MutexLock lock(&board_.groups.mutex);
    for (auto& [name, group] : board_.groups.groups) {
      for (EndpointState& endpoint : group.endpoints) {
        const std::string own =
          absl::StrCat(endpoint.address, ":", endpoint.port);
        for (const Json& box : list) {
          if (TextOr(box, "address", "") == own) {
            endpoint.listedLeaving = TextOr(box, "state", "") == "leaving";
          }
        }
      }
    }
  }
  while (!ending_ && ElapsedNow() < next) {
    absl::SleepFor(StopPoll);
  }
}

void EntryNode::Tick()
{
  const Elapsed now = ElapsedNow();
  endpoints_.BreakOffLateCalls(now);
  DispatchAll(board_, now);
  absl::SleepFor(TickPeriod);
}

void EntryNode::HandlePeer(const PeerRequest& request,
                           const PeerServer::Respond& respond)
{
  if (request.path == "/status") {
    wire::StatusReply reply;
    reply.set_json(DescribeEntry(board_));
    respond(reply.SerializeAsString());
    return;
  }
  if (request.path == "/follow" && request.who == PeerName) {
    respond(AnswerFollow(request.body));
    return;
  }
  board_.counters.Add(Event::PeerRejected);
  respond("");
}

} // namespace wg
