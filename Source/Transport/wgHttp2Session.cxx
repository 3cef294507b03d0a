// SPDX-License-Identifier: Apache-2.0
#include "wgHttp2Session.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

#include <sys/socket.h>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace wg::detail {
namespace {

constexpr std::size_t ReadChunk = 64U << 10U;
/** At one turn, from a peer that sends faster than it is read. */
constexpr int MostChunks = 16;
constexpr std::size_t WriteHighMark = 256U << 10U;
constexpr std::int32_t WindowBytes = 16 << 20;
constexpr std::uint32_t MaxStreams = 1024;

nghttp2_nv Header(absl::string_view name, absl::string_view value)
{
  return { reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data())),
           reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())),
           name.size(), value.size(), NGHTTP2_NV_FLAG_NONE };
}

} // namespace

/** The functions that nghttp2 calls; each gets the session as user data. */
struct Http2Session::Callbacks
{
  static Http2Session& Self(void* user)
  {
    return *static_cast<Http2Session*>(user);
  }

  static int OnBeginHeaders(nghttp2_session*, const nghttp2_frame* frame,
                            void* user)
  {
    const auto [found, isNew] =
      Self(user).streams_.try_emplace(frame->hd.stream_id);
    if (isNew) {
      found->second.began = ElapsedNow();
    }
    return 0;
  }

  static int OnHeader(nghttp2_session*, const nghttp2_frame* frame,
                      const std::uint8_t* name, std::size_t nameLength,
                      const std::uint8_t* value, std::size_t valueLength,
                      std::uint8_t, void* user)
  {
    Http2Stream* stream = Self(user).Find(frame->hd.stream_id);
    if (stream == nullptr) {
      return 0;
    }
    const absl::string_view key(reinterpret_cast<const char*>(name),
                                nameLength);
    std::string text(reinterpret_cast<const char*>(value), valueLength);
    if (key == ":path") {
      stream->path = std::move(text);
    } else if (key == "wg-who") {
      stream->who = std::move(text);
    } else if (key == "wg-nonce") {
      stream->nonce = std::move(text);
    } else if (key == "wg-signature") {
      stream->signature = std::move(text);
    } else if (key == ":status" && !absl::SimpleAtoi(text, &stream->status)) {
      stream->status = 0;
    }
    return 0;
  }

  static int OnData(nghttp2_session* session, std::uint8_t, std::int32_t id,
                    const std::uint8_t* data, std::size_t length, void* user)
  {
    Http2Stream* stream = Self(user).Find(id);
    if (stream == nullptr) {
      return 0;
    }
    ReceiveRoom& room = Self(user).room_;
    const std::size_t size = stream->received.size() + length;
    const bool isTooLong =
      size > room.most ||
      (room.used + length > room.most && size > FairPeerBody);
    if (isTooLong) {
      nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, id,
                                NGHTTP2_ENHANCE_YOUR_CALM);
      return 0;
    }
    stream->received.append(reinterpret_cast<const char*>(data), length);
    stream->counted += length;
    room.used += length;
    return 0;
  }

  static int OnFrame(nghttp2_session*, const nghttp2_frame* frame, void* user)
  {
    const bool carriesMessage =
      frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
    const bool ends = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    Http2Session& self = Self(user);
    Http2Stream* stream = self.Find(frame->hd.stream_id);
    if (carriesMessage && ends && stream != nullptr) {
      stream->isWhole = true;
      self.listener_.OnMessage(self, frame->hd.stream_id);
    }
    return 0;
  }

  static int OnClose(nghttp2_session*, std::int32_t id, std::uint32_t error,
                     void* user)
  {
    Http2Session& self = Self(user);
    if (error != NGHTTP2_NO_ERROR && self.Find(id) != nullptr) {
      self.listener_.OnBroken(self, id);
    }
    const auto closed = self.streams_.extract(id);
    if (!closed.empty()) {
      self.room_.used -= closed.mapped().counted;
    }
    return 0;
  }

  static ssize_t OnReadBody(nghttp2_session*, std::int32_t id,
                            std::uint8_t* buffer, std::size_t length,
                            std::uint32_t* flags, nghttp2_data_source*,
                            void* user)
  {
    Http2Stream* stream = Self(user).Find(id);
    if (stream == nullptr) {
      return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    const std::size_t left = stream->toSend.size() - stream->sent;
    const std::size_t now = std::min(left, length);
    std::memcpy(buffer, stream->toSend.data() + stream->sent, now);
    stream->sent += now;
    if (now == left) {
      *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(now);
  }
};

Http2Session::Http2Session(FileDescriptor socket, Side side,
                           Listener& listener, ReceiveRoom& room)
  : socket_(std::move(socket))
  , listener_(listener)
  , room_(room)
{
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_begin_headers_callback(
    callbacks, Callbacks::OnBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(callbacks,
                                                   Callbacks::OnHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks,
                                                            Callbacks::OnData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks,
                                                       Callbacks::OnFrame);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                         Callbacks::OnClose);
  if (side == Side::Server) {
    nghttp2_session_server_new(&session_, callbacks, this);
  } else {
    nghttp2_session_client_new(&session_, callbacks, this);
  }
  nghttp2_session_callbacks_del(callbacks);
  const std::array<nghttp2_settings_entry, 2> settings = {
    { { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, MaxStreams },
      { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, WindowBytes } }
  };
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(),
                          settings.size());
  nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                        WindowBytes);
}

Http2Session::~Http2Session()
{
  nghttp2_session_del(session_);
  for (const auto& [id, stream] : streams_) {
    room_.used -= stream.counted;
  }
}

bool Http2Session::WantsWrite() const
{
  return !out_.empty() || nghttp2_session_want_write(session_) != 0;
}

bool Http2Session::Read()
{
  std::array<std::uint8_t, ReadChunk> buffer;
  for (int i = 0; i < MostChunks; ++i) {
    const ssize_t got = recv(socket_.Get(), buffer.data(), buffer.size(), 0);
    if (got < 0) {
      return errno == EAGAIN || errno == EINTR;
    }
    if (got == 0) {
      return false;
    }
    bytesRead_ += static_cast<std::uint64_t>(got);
    if (nghttp2_session_mem_recv(session_, buffer.data(),
                                 static_cast<std::size_t>(got)) < 0) {
      return false;
    }
  }
  return true;
}

bool Http2Session::Write()
{
  for (;;) {
    while (out_.size() < WriteHighMark) {
      const std::uint8_t* data = nullptr;
      const ssize_t length = nghttp2_session_mem_send(session_, &data);
      if (length < 0) {
        return false;
      }
      if (length == 0) {
        break;
      }
      out_.append(reinterpret_cast<const char*>(data),
                  static_cast<std::size_t>(length));
    }
    if (out_.empty()) {
      return nghttp2_session_want_read(session_) != 0;
    }
    const ssize_t wrote =
      send(socket_.Get(), out_.data(), out_.size(), MSG_NOSIGNAL);
    if (wrote < 0) {
      return errno == EAGAIN || errno == EINTR;
    }
    out_.erase(0, static_cast<std::size_t>(wrote));
  }
}

Http2Stream* Http2Session::Find(std::int32_t stream)
{
  auto found = streams_.find(stream);
  return found == streams_.end() ? nullptr : &found->second;
}

std::int32_t Http2Session::StartRequest(absl::string_view path,
                                        absl::string_view who,
                                        absl::string_view nonce,
                                        absl::string_view signature,
                                        std::string body)
{
  const std::array<nghttp2_nv, 7> headers = {
    { Header(":method", "POST"), Header(":scheme", "http"),
      Header(":authority", "weirgate"), Header(":path", path),
      Header("wg-who", who), Header("wg-nonce", nonce),
      Header("wg-signature", signature) }
  };
  nghttp2_data_provider provider{};
  provider.read_callback = Callbacks::OnReadBody;
  const std::int32_t id = nghttp2_submit_request(
    session_, nullptr, headers.data(), headers.size(), &provider, nullptr);
  if (id >= 0) {
    streams_[id].toSend = std::move(body);
  }
  return id;
}

void Http2Session::StartReply(std::int32_t stream, absl::string_view signature,
                              int status, std::string body)
{
  Http2Stream* open = Find(stream);
  if (open == nullptr) {
    return;
  }
  open->toSend = std::move(body);
  const std::string statusText = absl::StrCat(status);
  const std::array<nghttp2_nv, 2> headers = {
    { Header(":status", statusText), Header("wg-signature", signature) }
  };
  nghttp2_data_provider provider{};
  provider.read_callback = Callbacks::OnReadBody;
  nghttp2_submit_response(session_, stream, headers.data(), headers.size(),
                          &provider);
}

void Http2Session::Cancel(std::int32_t stream)
{
  nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream,
                            NGHTTP2_CANCEL);
}

std::size_t Http2Session::ResetUnfinished(Elapsed before)
{
  std::size_t count = 0;
  for (const auto& [id, stream] : streams_) {
    if (!stream.isWhole && stream.began < before) {
      Cancel(id);
      ++count;
    }
  }
  return count;
}

} // namespace wg::detail
