// SPDX-License-Identifier: Apache-2.0
#include "wgPeerServer.h"

#include <algorithm>
#include <array>
#include <set>

#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>

namespace wg {
namespace {

/** Of the descriptors that the process may have; the rest is for endpoints,
 * callers and files.
 */
constexpr double ConnectionShare = 0.75;
/** Some 20 kB each: 1.3 GB, above any box. */
constexpr rlim_t MostDescriptors = 65536;
constexpr int PollMs = 500;
constexpr int MostEvents = 256;
constexpr int StatusOk = 200;
constexpr int StatusForbidden = 403;
constexpr std::uint64_t ListenerId = 0;
constexpr std::uint64_t WakeUpId = 1;
constexpr std::uint64_t FirstConnectionId = 2;

/** A deployment of any size has its boxes call the few control boxes that
 * they know at first; a number that does not go with the box refuses the
 * other control boxes as well.
 */
std::size_t FindMostConnections()
{
  rlimit limit{};
  const bool isKnown = getrlimit(RLIMIT_NOFILE, &limit) == 0;
  const rlim_t descriptors =
    isKnown ? std::min(limit.rlim_cur, MostDescriptors) : MostDescriptors;
  return static_cast<std::size_t>(static_cast<double>(descriptors) *
                                  ConnectionShare);
}

bool Watch(const FileDescriptor& events, int operation, int socket,
           std::uint32_t what, std::uint64_t id)
{
  epoll_event event{};
  event.events = what;
  event.data.u64 = id;
  return epoll_ctl(events.Get(), operation, socket, &event) == 0;
}

} // namespace

PeerServer::PeerServer(KeyRing keys, Handler handler, Counters& counters,
                       std::size_t mostReceived, absl::Duration requestTime)
  : keys_(std::move(keys))
  , handler_(std::move(handler))
  , counters_(counters)
  , events_(epoll_create1(EPOLL_CLOEXEC))
  , mostConnections_(FindMostConnections())
  , requestTime_(requestTime)
  , room_{ mostReceived, 0 }
  , nextConnection_(FirstConnectionId)
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
  const bool isWatched =
    events_.IsOpen() &&
    Watch(events_, EPOLL_CTL_ADD, listener_.Get(), EPOLLIN, ListenerId) &&
    Watch(events_, EPOLL_CTL_ADD, outbox_->wakeUp.Get(), EPOLLIN, WakeUpId);
  if (!isWatched) {
    return Error{ "No events can be had of the peer address's socket; raise "
                  "the limit of open files." };
  }
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
  std::array<epoll_event, MostEvents> ready{};
  while (!stopping_) {
    const int count =
      epoll_wait(events_.Get(), ready.data(), MostEvents, PollMs);
    for (int i = 0; i < count; ++i) {
      const std::uint64_t id = ready[static_cast<std::size_t>(i)].data.u64;
      if (id == ListenerId) {
        Accept();
      } else if (id == WakeUpId) {
        outbox_->wakeUp.Clear();
      } else {
        OnEvents(id, ready[static_cast<std::size_t>(i)].events);
      }
    }
    SendReplies();
    ResetLateRequests();
  }
}

void PeerServer::OnEvents(std::uint64_t id, std::uint32_t events)
{
  auto found = connections_.find(id);
  if (found == connections_.end()) {
    return;
  }
  detail::Http2Session& session = *found->second.session;
  currentConnection_ = id;
  const bool reads = (events & ~static_cast<std::uint32_t>(EPOLLOUT)) != 0;
  const bool useful =
    (!reads || session.Read()) && session.Write() && Await(id, found->second);
  if (!useful) {
    connections_.erase(found);
  }
}

/** Asks for word of when it may be written to, while there is something to
 * write.
 */
bool PeerServer::Await(std::uint64_t id, Connection& connection)
{
  const bool wants = connection.session->WantsWrite();
  if (wants == connection.awaitsRoom) {
    return true;
  }
  connection.awaitsRoom = wants;
  const std::uint32_t what =
    wants ? EPOLLIN | EPOLLOUT : static_cast<std::uint32_t>(EPOLLIN);
  return Watch(events_, EPOLL_CTL_MOD, connection.session->Socket(), what, id);
}

void PeerServer::Accept()
{
  for (;;) {
    FileDescriptor socket(accept4(listener_.Get(), nullptr, nullptr,
                                  SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!socket.IsOpen()) {
      return;
    }
    const std::uint64_t id = nextConnection_++;
    const bool isTaken =
      connections_.size() < mostConnections_ &&
      Watch(events_, EPOLL_CTL_ADD, socket.Get(), EPOLLIN, id);
    if (!isTaken) {
      counters_.Add(Event::PeerRejected);
      continue;
    }
    detail::Http2Session::Listener& listener = *this;
    Connection& connection = connections_[id];
    connection.session = std::make_unique<detail::Http2Session>(
      std::move(socket), detail::Http2Session::Side::Server, listener, room_);
    if (!connection.session->Write() || !Await(id, connection)) {
      connections_.erase(id);
    }
  }
}

void PeerServer::SendReplies()
{
  std::vector<Reply> replies;
  {
    absl::MutexLock lock(&outbox_->mutex);
    replies.swap(outbox_->replies);
  }
  std::set<std::uint64_t> written;
  for (Reply& reply : replies) {
    auto found = connections_.find(reply.connection);
    if (found == connections_.end()) {
      continue;
    }
    detail::Http2Session& session = *found->second.session;
    const detail::Http2Stream* stream = session.Find(reply.stream);
    if (stream == nullptr) {
      continue;
    }
    const std::string signature =
      SignReply(reply.key, stream->nonce, reply.body);
    counters_.Add(Event::PeerBytes, reply.body.size());
    session.StartReply(reply.stream, signature, StatusOk,
                       std::move(reply.body));
    written.insert(reply.connection);
  }
  for (const std::uint64_t id : written) {
    OnEvents(id, EPOLLOUT);
  }
}

/** A signature covers the whole request: who sends without end is not known
 * and has to be given up by time.
 */
void PeerServer::ResetLateRequests()
{
  const Elapsed now = ElapsedNow();
  if (now - lateChecked_ < absl::Milliseconds(PollMs)) {
    return;
  }
  lateChecked_ = now;
  std::vector<std::uint64_t> changed;
  for (const auto& [id, connection] : connections_) {
    const std::size_t count =
      connection.session->ResetUnfinished(now - requestTime_);
    if (count > 0) {
      counters_.Add(Event::PeerRejected, count);
      changed.push_back(id);
    }
  }
  for (const std::uint64_t id : changed) {
    OnEvents(id, EPOLLOUT);
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
