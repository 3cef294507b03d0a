// SPDX-License-Identifier: Apache-2.0
#include "wgPeerClient.h"

#include <algorithm>

#include <poll.h>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"

#include "wgPeerAuth.h"

namespace wg {
namespace {

constexpr int MaxPollMs = 200;
constexpr int StatusOk = 200;
constexpr absl::Duration SilenceBeforeReconnect = absl::Seconds(1);

Error CallError(const std::string& address, absl::string_view what)
{
  return Error{ absl::StrCat("The peer at ", address, " ", what, ".") };
}

} // namespace

PeerClient::PeerClient(std::string key, absl::string_view who)
  : key_(std::move(key))
  , who_(who)
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
      const bool writes = connection.session->WantsWrite();
      polled.push_back({ connection.session->Socket(),
                         static_cast<short>(POLLIN | (writes ? POLLOUT : 0)),
                         0 });
      addresses.push_back(address);
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
      detail::Http2Session& session = *found->second.session;
      if ((events & POLLIN) != 0) {
        found->second.lastHeard = ElapsedNow();
      }
      if (!session.Read() || !session.Write()) {
        Drop(addresses[i]);
      }
    }
    StartCalls();
    ExpireCalls(ElapsedNow());
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
    if (current->second.session->WantsWrite()) {
      current->second.session->Write();
    }
  }
}

void PeerClient::StartCall(PendingCall call)
{
  Connection& connection = connections_[call.address];
  if (connection.session == nullptr) {
    Outcome<SocketAddress> address = ParseSocketAddress(call.address);
    Outcome<FileDescriptor> socket =
      Succeeded(address) ? StartConnectTcp(Value(address))
                         : Outcome<FileDescriptor>(Error{ Message(address) });
    if (!Succeeded(socket)) {
      connections_.erase(call.address);
      call.callback(Error{ Message(socket) });
      return;
    }
    detail::Http2Session::Listener& listener = *this;
    connection.session = std::make_unique<detail::Http2Session>(
      std::move(Value(socket)), detail::Http2Session::Side::Client, listener);
    connection.lastHeard = ElapsedNow();
  }
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

void PeerClient::ExpireCalls(Elapsed now)
{
  std::vector<PendingCall> expired;
  std::vector<std::string> silent;
  for (auto& [address, connection] : connections_) {
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
