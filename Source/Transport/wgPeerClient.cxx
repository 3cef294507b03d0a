// SPDX-License-Identifier: Apache-2.0
#include "wgPeerClient.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <poll.h>
#include <sys/socket.h>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"

#include "wgPeerAuth.h"

namespace wg {
namespace {

constexpr int MaxPollMs = 200;
constexpr int StatusOk = 200;
constexpr absl::Duration SilenceBeforeReconnect = absl::Seconds(1);
/** The kernel sends a lost opening packet again after a second; a box that
 * starts beside this one is reached sooner by a new connection. Links take a
 * few milliseconds.
 */
constexpr absl::Duration ConnectRetry = absl::Milliseconds(200);

Error CallError(const std::string& address, absl::string_view what)
{
  return Error{ absl::StrCat("The peer at ", address, " ", what, ".") };
}

} // namespace

PeerClient::PeerClient(std::string key, absl::string_view who,
                       absl::Duration idleTime, std::size_t mostReceived)
  : key_(std::move(key))
  , who_(who)
  , idleTime_(idleTime)
  , room_{ mostReceived, 0 }
  , thread_([this] { Run(); })
{
}

PeerClient::~PeerClient()
{
  stopping_ = true;
  wakeUp_.Signal();
  thread_.join();
  StartCalls();
  while (!connections_.empty()) {
    Drop(connections_.begin()->first);
  }
}

void PeerClient::Call(const std::string& address, absl::string_view path,
                      std::string body, absl::Duration timeout,
                      Callback callback)
{
  PendingCall call{ address,
                    std::string(path),
                    std::move(body),
                    ElapsedNow() + timeout,
                    std::move(callback),
                    MakeNonce() };
  absl::MutexLock lock(&mutex_);
  queued_.push_back(std::move(call));
  wakeUp_.Signal();
}

Outcome<std::string> PeerClient::CallAndWait(const std::string& address,
                                             absl::string_view path,
                                             std::string body,
                                             absl::Duration timeout)
{
  Outcome<std::string> result = Error{};
  absl::Notification done;
  Call(address, path, std::move(body), timeout,
       [&result, &done](Outcome<std::string> reply) {
         result = std::move(reply);
         done.Notify();
       });
  done.WaitForNotification();
  return result;
}

int PeerClient::PollTimeoutMs() const
{
  Elapsed soonest = ElapsedNow() + absl::Milliseconds(MaxPollMs);
  for (const auto& [address, connection] : connections_) {
    for (const auto& [id, call] : connection.calls) {
      soonest = std::min(soonest, call.deadline);
    }
    for (const PendingCall& call : connection.waiting) {
      soonest = std::min(soonest, call.deadline);
    }
    if (connection.session == nullptr) {
      soonest = std::min(soonest, connection.connectBegan + ConnectRetry);
    }
  }
  const auto left = absl::ToInt64Milliseconds(soonest - ElapsedNow());
  return static_cast<int>(std::clamp<std::int64_t>(left + 1, 0, MaxPollMs));
}

void PeerClient::Run()
{
  while (!stopping_) {
    std::vector<pollfd> polled = { { wakeUp_.Get(), POLLIN, 0 } };
    std::vector<std::string> addresses;
    for (const auto& [address, connection] : connections_) {
      addresses.push_back(address);
      if (connection.session == nullptr) {
        polled.push_back({ connection.connecting.Get(), POLLOUT, 0 });
        continue;
      }
      const bool writes = connection.session->WantsWrite();
      polled.push_back({ connection.session->Socket(),
                         static_cast<short>(POLLIN | (writes ? POLLOUT : 0)),
                         0 });
    }
    poll(polled.data(), polled.size(), PollTimeoutMs());
    if ((polled[0].revents & POLLIN) != 0) {
      wakeUp_.Clear();
    }
    for (std::size_t i = 0; i < addresses.size(); ++i) {
      const short events = polled[i + 1].revents;
      auto found = connections_.find(addresses[i]);
      if (events == 0 || found == connections_.end()) {
        continue;
      }
      if (found->second.session == nullptr) {
        OnConnectEvent(addresses[i]);
        continue;
      }
      detail::Http2Session& session = *found->second.session;
      if ((events & POLLIN) != 0) {
        found->second.lastHeard = ElapsedNow();
      }
      const std::uint64_t before = session.BytesRead();
      const bool isOpen = session.Read();
      bytesRead_ += session.BytesRead() - before;
      if (!isOpen || !session.Write()) {
        Drop(addresses[i]);
      }
    }
    StartCalls();
    ExpireCalls(ElapsedNow());
    RetryConnects(ElapsedNow());
    CloseIdle(ElapsedNow());
  }
}

/** Each box calls some control boxes and coordinators only once; a connection
 * that stayed for each would make those of a control box as many as there are
 * boxes.
 */
void PeerClient::CloseIdle(Elapsed now)
{
  std::vector<std::string> idle;
  for (auto& [address, connection] : connections_) {
    const bool isUsed =
      !connection.calls.empty() || !connection.waiting.empty();
    if (isUsed || connection.session == nullptr) {
      connection.lastUsed = now;
    } else if (now - connection.lastUsed > idleTime_) {
      idle.push_back(address);
    }
  }
  for (const std::string& address : idle) {
    Drop(address);
  }
}

void PeerClient::StartCalls()
{
  std::vector<PendingCall> calls;
  {
    absl::MutexLock lock(&mutex_);
    calls.swap(queued_);
  }
  for (PendingCall& call : calls) {
    StartCall(std::move(call));
  }
  for (auto it = connections_.begin(); it != connections_.end();) {
    auto current = it++;
    const auto& session = current->second.session;
    if (session != nullptr && session->WantsWrite()) {
      session->Write();
    }
  }
}

void PeerClient::StartCall(PendingCall call)
{
  const std::string address = call.address;
  if (connections_.count(address) == 0 && !BeginConnect(address)) {
    call.callback(CallError(address, "can't be connected to"));
    return;
  }
  Connection& connection = connections_[address];
  if (connection.session == nullptr) {
    connection.waiting.push_back(std::move(call));
  } else {
    SendCall(connection, std::move(call));
  }
}

/** \return false when the address is unsound or there is no route to it */
bool PeerClient::BeginConnect(const std::string& address)
{
  Outcome<SocketAddress> parsed = ParseSocketAddress(address);
  Outcome<FileDescriptor> socket =
    Succeeded(parsed) ? StartConnectTcp(Value(parsed))
                      : Outcome<FileDescriptor>(Error{ Message(parsed) });
  if (!Succeeded(socket)) {
    return false;
  }
  Connection& connection = connections_[address];
  connection.connecting = std::move(Value(socket));
  connection.connectBegan = ElapsedNow();
  return true;
}

void PeerClient::OnConnectEvent(const std::string& address)
{
  Connection& connection = connections_[address];
  int error = 0;
  socklen_t length = sizeof(error);
  const int rc = getsockopt(connection.connecting.Get(), SOL_SOCKET, SO_ERROR,
                            &error, &length);
  if (rc != 0 || error != 0) {
    Drop(address);
    return;
  }
  detail::Http2Session::Listener& listener = *this;
  connection.session = std::make_unique<detail::Http2Session>(
    std::move(connection.connecting), detail::Http2Session::Side::Client,
    listener, room_);
  connection.lastHeard = ElapsedNow();
  for (PendingCall& call : std::exchange(connection.waiting, {})) {
    auto found = connections_.find(address);
    if (found == connections_.end()) {
      call.callback(CallError(address, "closed the connection"));
    } else {
      SendCall(found->second, std::move(call));
    }
  }
}

void PeerClient::SendCall(Connection& connection, PendingCall call)
{
  const std::string signature =
    SignRequest(key_, who_, call.path, call.nonce, call.body);
  const std::int32_t id = connection.session->StartRequest(
    call.path, who_, call.nonce, signature, std::move(call.body));
  if (id < 0) {
    const std::string address = call.address;
    call.callback(CallError(address, "takes no more calls"));
    Drop(address);
    return;
  }
  connection.calls.emplace(id, std::move(call));
}

/** Opens anew what has not been connected in time; a connection for which no
 * call waits any more is forgotten.
 */
void PeerClient::RetryConnects(Elapsed now)
{
  std::vector<std::string> late;
  for (const auto& [address, connection] : connections_) {
    const bool isLate = connection.session == nullptr &&
                        now - connection.connectBegan >= ConnectRetry;
    if (isLate) {
      late.push_back(address);
    }
  }
  for (const std::string& address : late) {
    const bool goesOn =
      !connections_[address].waiting.empty() && BeginConnect(address);
    if (!goesOn) {
      Drop(address);
    }
  }
}

void PeerClient::ExpireWaiting(Connection& connection, Elapsed now,
                               std::vector<PendingCall>& expired)
{
  auto& waiting = connection.waiting;
  const auto kept = std::stable_partition(
    waiting.begin(), waiting.end(),
    [now](const PendingCall& call) { return call.deadline > now; });
  expired.insert(expired.end(), std::make_move_iterator(kept),
                 std::make_move_iterator(waiting.end()));
  waiting.erase(kept, waiting.end());
}

void PeerClient::ExpireCalls(Elapsed now)
{
  std::vector<PendingCall> expired;
  std::vector<std::string> silent;
  for (auto& [address, connection] : connections_) {
    ExpireWaiting(connection, now, expired);
    const std::size_t before = expired.size();
    for (auto it = connection.calls.begin(); it != connection.calls.end();) {
      if (it->second.deadline > now) {
        ++it;
        continue;
      }
      connection.session->Cancel(it->first);
      expired.push_back(std::move(it->second));
      it = connection.calls.erase(it);
    }
    // A connection that was cut may take minutes to notice: try a new one.
    const bool isSilent = expired.size() > before &&
                          now - connection.lastHeard > SilenceBeforeReconnect;
    if (isSilent) {
      silent.push_back(address);
    }
  }
  for (const std::string& address : silent) {
    Drop(address);
  }
  for (PendingCall& call : expired) {
    call.callback(CallError(call.address, "gave no answer in time"));
  }
}

void PeerClient::Drop(const std::string& address)
{
  auto node = connections_.extract(address);
  if (node.empty()) {
    return;
  }
  for (PendingCall& call : node.mapped().waiting) {
    call.callback(CallError(address, "can't be connected to"));
  }
  for (auto& [id, call] : node.mapped().calls) {
    call.callback(CallError(address, "closed the connection"));
  }
}

PeerClient::Connection* PeerClient::FindConnection(
  const detail::Http2Session& session)
{
  for (auto& [address, connection] : connections_) {
    if (connection.session.get() == &session) {
      return &connection;
    }
  }
  return nullptr;
}

void PeerClient::OnMessage(detail::Http2Session& session, std::int32_t id)
{
  Connection* connection = FindConnection(session);
  detail::Http2Stream* stream = session.Find(id);
  if (connection == nullptr || stream == nullptr) {
    return;
  }
  auto node = connection->calls.extract(id);
  if (node.empty()) {
    return;
  }
  PendingCall& call = node.mapped();
  const bool genuine =
    stream->status == StatusOk &&
    SameSignature(SignReply(key_, call.nonce, stream->received),
                  stream->signature);
  if (!genuine) {
    call.callback(CallError(call.address, "does not share this peer key"));
    return;
  }
  call.callback(std::move(stream->received));
}

void PeerClient::OnBroken(detail::Http2Session& session, std::int32_t id)
{
  Connection* connection = FindConnection(session);
  if (connection == nullptr) {
    return;
  }
  auto node = connection->calls.extract(id);
  if (!node.empty()) {
    node.mapped().callback(
      CallError(node.mapped().address, "broke off the call"));
  }
}

} // namespace wg
