// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

#include "wgElapsed.h"
#include "wgHttp2Session.h"
#include "wgOutcome.h"

namespace wg {

/** \class PeerClient
 * \brief Calls other weirgate processes over one connection to each, which
 * ends once it has had no call for some seconds.
 */
class PeerClient : private detail::Http2Session::Listener
{
public:
  using Callback = std::function<void(Outcome<std::string> reply)>;

  /** Longer than calls of a box that is in use are apart; opening a connection
   * anew takes a round trip.
   */
  static constexpr absl::Duration IdleTime = absl::Seconds(10);

  /** \param who the name that belongs to the key
   * \param idleTime after which a connection without calls is closed
   * \param mostReceived bytes that are kept of all answers that come
   */
  PeerClient(std::string key, absl::string_view who,
             absl::Duration idleTime = IdleTime,
             std::size_t mostReceived = detail::MaxPeerBody);
  ~PeerClient() override;

  /** \brief Calls and returns at once; the callback runs on the poll loop,
   * exactly once, with a reply that is proved to be for this call.
   */
  void Call(const std::string& address, absl::string_view path,
            std::string body, absl::Duration timeout, Callback callback);

  /** \brief Calls and waits. */
  Outcome<std::string> CallAndWait(const std::string& address,
                                   absl::string_view path, std::string body,
                                   absl::Duration timeout);

  /** \brief Bytes that answers took so far, also those given up midway. From
   * any thread.
   */
  std::uint64_t BytesRead() const { return bytesRead_; }

private:
  struct PendingCall
  {
    std::string address;
    std::string path;
    std::string body;
    Elapsed deadline;
    Callback callback;
    std::string nonce;
  };
  struct Connection
  {
    /** Until it is connected: its calls wait. */
    FileDescriptor connecting;
    Elapsed connectBegan;
    std::vector<PendingCall> waiting;
    std::unique_ptr<detail::Http2Session> session; // null until connected
    std::map<std::int32_t, PendingCall> calls;
    Elapsed lastHeard;
    Elapsed lastUsed; // when it last had a call
  };

  void Run();
  int PollTimeoutMs() const;
  void StartCalls();
  void StartCall(PendingCall call);
  bool BeginConnect(const std::string& address);
  void OnConnectEvent(const std::string& address);
  void SendCall(Connection& connection, PendingCall call);
  void RetryConnects(Elapsed now);
  void ExpireCalls(Elapsed now);
  void CloseIdle(Elapsed now);
  static void ExpireWaiting(Connection& connection, Elapsed now,
                            std::vector<PendingCall>& expired);
  void Drop(const std::string& address);
  void OnMessage(detail::Http2Session& session, std::int32_t stream) override;
  void OnBroken(detail::Http2Session& session, std::int32_t stream) override;
  Connection* FindConnection(const detail::Http2Session& session);

  std::string key_;
  std::string who_;
  absl::Duration idleTime_;
  WakeUp wakeUp_;
  absl::Mutex mutex_;
  std::vector<PendingCall> queued_ ABSL_GUARDED_BY(mutex_);
  detail::ReceiveRoom room_;
  std::map<std::string, Connection> connections_;
  std::atomic<std::uint64_t> bytesRead_{ 0 };
  std::atomic<bool> stopping_{ false };
  std::thread thread_;
};

} // namespace wg
