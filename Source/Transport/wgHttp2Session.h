// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include <nghttp2/nghttp2.h>

#include "absl/strings/string_view.h"

#include "wgElapsed.h"
#include "wgSocket.h"

namespace wg::detail {

/** \brief The largest body that a peer may send, in bytes. */
constexpr std::size_t MaxPeerBody = 64U << 20U;

/** \brief A body of so many bytes is taken whatever the others keep. */
constexpr std::size_t FairPeerBody = 256U << 10U;

/** \brief What is kept of all bodies that are not whole yet, in bytes; of
 * the sessions of one loop.
 */
struct ReceiveRoom
{
  std::size_t most = MaxPeerBody;
  std::size_t used = 0;
};

/** \brief What has arrived of one stream and what is still to be sent. */
struct Http2Stream
{
  std::string path;
  std::string who;
  std::string nonce;
  std::string signature;
  std::string received;
  std::size_t counted = 0; // of ReceiveRoom
  std::string toSend;
  std::size_t sent = 0;
  int status = 0;
  Elapsed began;
  bool isWhole = false; // the peer has sent all of its message
};

/** \class Http2Session
 * \brief One connection: an nghttp2 session over a non-blocking socket.
 */
class Http2Session
{
public:
  enum class Side
  {
    Client,
    Server
  };

  /** \brief Called when a peer has ended its half, or the stream broke. */
  class Listener
  {
  public:
    virtual ~Listener() = default;
    virtual void OnMessage(Http2Session& session, std::int32_t stream) = 0;
    virtual void OnBroken(Http2Session& session, std::int32_t stream) = 0;
  };

  /** \param room outlives the session */
  Http2Session(FileDescriptor socket, Side side, Listener& listener,
               ReceiveRoom& room);
  ~Http2Session();
  Http2Session(const Http2Session&) = delete;
  Http2Session& operator=(const Http2Session&) = delete;

  int Socket() const { return socket_.Get(); }
  bool WantsWrite() const;
  /** \brief Reads some of what has come, so that other connections get
   * their turn. False once the connection is of no more use.
   */
  bool Read();
  bool Write();
  /** \brief Bytes taken from the socket so far. */
  std::uint64_t BytesRead() const { return bytesRead_; }
  Http2Stream* Find(std::int32_t stream);
  /** \brief Starts a request; a negative number when that cannot be. */
  std::int32_t StartRequest(absl::string_view path, absl::string_view who,
                            absl::string_view nonce,
                            absl::string_view signature, std::string body);
  void StartReply(std::int32_t stream, absl::string_view signature, int status,
                  std::string body);
  void Cancel(std::int32_t stream);
  /** \brief Resets the streams that the peer began before then and whose
   * message is not whole.
   * \return their number
   */
  std::size_t ResetUnfinished(Elapsed before);

private:
  struct Callbacks;
  friend struct Callbacks;

  FileDescriptor socket_;
  Listener& listener_;
  ReceiveRoom& room_;
  nghttp2_session* session_ = nullptr;
  std::unordered_map<std::int32_t, Http2Stream> streams_;
  std::string out_;
  std::uint64_t bytesRead_ = 0;
};

} // namespace wg::detail
