// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

#include "wgCounters.h"
#include "wgElapsed.h"
#include "wgHttp2Session.h"
#include "wgOutcome.h"
#include "wgPeerAuth.h"

namespace wg {

/** \brief A request whose signature was found right. */
struct PeerRequest
{
  std::string path;
  std::string who; // PeerName, or an operator's name
  std::string body;
};

/** \class PeerServer
 * \brief Answers other weirgate processes, on a loop of its own that looks at
 * those connections alone that have something to read or write.
 *
 * A request that is not signed with its caller's key is refused, counted.
 */
class PeerServer : private detail::Http2Session::Listener
{
public:
  /** \brief Sends the reply; may be called later and from any thread. */
  using Respond = std::function<void(std::string body)>;
  /** \brief Runs on the poll loop: it must not block. */
  using Handler = std::function<void(PeerRequest request, Respond respond)>;

  /** \brief Until a request is whole: the largest takes some 50 s over
   * 10 Mbit/s.
   */
  static constexpr absl::Duration RequestTime = absl::Minutes(1);

  /** \param mostReceived bytes that are kept of all requests that come
   * \param requestTime what is not whole by then is reset
   */
  PeerServer(KeyRing keys, Handler handler, Counters& counters,
             std::size_t mostReceived = detail::MaxPeerBody,
             absl::Duration requestTime = RequestTime);
  ~PeerServer() override;
  Outcome<Done> Start(const SocketAddress& address);
  void Stop();

private:
  struct Reply
  {
    std::uint64_t connection;
    std::int32_t stream;
    std::string key;
    std::string body;
  };
  /** Outlives the server, so that a late reply finds something to fill. */
  struct Outbox
  {
    absl::Mutex mutex;
    std::vector<Reply> replies ABSL_GUARDED_BY(mutex);
    WakeUp wakeUp;
  };

  struct Connection
  {
    std::unique_ptr<detail::Http2Session> session;
    bool awaitsRoom = false; // it is told when it may be written to
  };

  void Run();
  void Accept();
  void SendReplies();
  void ResetLateRequests();
  void OnEvents(std::uint64_t id, std::uint32_t events);
  bool Await(std::uint64_t id, Connection& connection);
  void OnMessage(detail::Http2Session& session, std::int32_t stream) override;
  void OnBroken(detail::Http2Session& session, std::int32_t stream) override;

  KeyRing keys_;
  Handler handler_;
  Counters& counters_;
  FileDescriptor listener_;
  std::shared_ptr<Outbox> outbox_ = std::make_shared<Outbox>();
  FileDescriptor events_; // of all sockets
  std::size_t mostConnections_ = 0;
  absl::Duration requestTime_;
  Elapsed lateChecked_;
  detail::ReceiveRoom room_;
  std::map<std::uint64_t, Connection> connections_;
  std::uint64_t nextConnection_;
  std::uint64_t currentConnection_ = 0;
  std::atomic<bool> stopping_{ false };
  std::thread thread_;
};

} // namespace wg
