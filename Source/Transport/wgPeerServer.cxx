// SPDX-License-Identifier: Apache-2.0
#include "wgPeerServer.h"

#include <poll.h>
#include <sys/socket.h>

namespace wg {
namespace {

constexpr std::size_t MaxConnections = 512;
constexpr int PollMs = 500;
constexpr int StatusOk = 200;
constexpr int StatusForbidden = 403;
constexpr std::size_t FixedPollEntries = 2;

} // namespace

PeerServer::PeerServer(KeyRing keys, Handler handler, Counters& counters)
  : keys_(std::move(keys))
  , handler_(std::move(handler))
  , counters_(counters)
{
}

PeerServer::~PeerServer()
{
  Stop();
}

Outcome<Done> PeerServer::Start(const SocketAddress& address)
{
  Outcome<FileDescriptor> listening = ListenTcp(address);
  if (!Succeeded(listening)) {
    return Error{ Message(listening) };
  }
  listener_ = std::move(Value(listening));
  thread_ = std::thread([this] { Run(); });
  return Done{};
}

void PeerServer::Stop()
{
  stopping_ = true;
  outbox_->wakeUp.Signal();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void PeerServer::Run()
{
  while (!stopping_) {
    std::vector<pollfd> polled = { { listener_.Get(), POLLIN, 0 },
                                   { outbox_->wakeUp.Get(), POLLIN, 0 } };
    std::vector<std::uint64_t> ids;
    for (const auto& [id, session] : sessions_) {
      const short events =
        static_cast<short>(POLLIN | (session->WantsWrite() ? POLLOUT : 0));
      polled.push_back({ session->Socket(), events, 0 });
      ids.push_back(id);
    }
    poll(polled.data(), polled.size(), PollMs);
    if ((polled[1].revents & POLLIN) != 0) {
      outbox_->wakeUp.Clear();
    }
    SendReplies();
    for (std::size_t i = 0; i < ids.size(); ++i) {
      detail::Http2Session& session = *sessions_[ids[i]];
      const short events = polled[i + FixedPollEntries].revents;
      currentConnection_ = ids[i];
      const bool useful = (events == 0 || session.Read()) && session.Write();
      if (!useful) {
        sessions_.erase(ids[i]);
      }
    }
    if ((polled[0].revents & POLLIN) != 0) {
      Accept();
    }
  }
}

void PeerServer::Accept()
{
  for (;;) {
    FileDescriptor socket(accept4(listener_.Get(), nullptr, nullptr,
                                  SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!socket.IsOpen()) {
      return;
    }
    if (sessions_.size() >= MaxConnections) {
      counters_.Add(Event::PeerRejected);
      continue;
    }
    detail::Http2Session::Listener& listener = *this;
    sessions_[nextConnection_++] = std::make_unique<detail::Http2Session>(
      std::move(socket), detail::Http2Session::Side::Server, listener);
  }
}

void PeerServer::SendReplies()
{
  std::vector<Reply> replies;
  {
    absl::MutexLock lock(&outbox_->mutex);
    replies.swap(outbox_->replies);
  }
  for (Reply& reply : replies) {
    auto found = sessions_.find(reply.connection);
    if (found == sessions_.end()) {
      continue;
    }
    detail::Http2Session& session = *found->second;
    const detail::Http2Stream* stream = session.Find(reply.stream);
    if (stream == nullptr) {
      continue;
    }
    const std::string signature =
      SignReply(reply.key, stream->nonce, reply.body);
    counters_.Add(Event::PeerBytes, reply.body.size());
    session.StartReply(reply.stream, signature, StatusOk,
                       std::move(reply.body));
  }
}

void PeerServer::OnMessage(detail::Http2Session& session, std::int32_t id)
{
  detail::Http2Stream& stream = *session.Find(id);
  auto found = keys_.find(stream.who);
  const bool genuine =
    found != keys_.end() &&
    SameSignature(SignRequest(found->second, stream.who, stream.path,
                              stream.nonce, stream.received),
                  stream.signature);
  if (!genuine) {
    counters_.Add(Event::PeerRejected);
    session.StartReply(id, "", StatusForbidden, "");
    return;
  }
  counters_.Add(Event::PeerMessage);
  counters_.Add(Event::PeerBytes, stream.received.size());
  const std::uint64_t connection = currentConnection_;
  std::shared_ptr<Outbox> outbox = outbox_;
  const std::string key = found->second;
  handler_(
    { stream.path, stream.who, std::move(stream.received) },
    [outbox, connection, id, key](std::string body) {
      absl::MutexLock lock(&outbox->mutex);
      outbox->replies.push_back({ connection, id, key, std::move(body) });
      outbox->wakeUp.Signal();
    });
}

void PeerServer::OnBroken(detail::Http2Session&, std::int32_t)
{
}

} // namespace wg
