// SPDX-License-Identifier: Apache-2.0
#include "wgHttpClientConnection.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>
#include <utility>

#include <netinet/tcp.h>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include "wgRunLoop.h"
#include "wgSocketAddress.h"

namespace wg {
namespace detail {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

/** Each read waits its turn behind those of all other answers. */
constexpr std::size_t ReadBytes = 32U << 10U;
/** What the parser has not used yet: a head, a line of a chunk, or trailers.
 * No field in them can be longer than the parser holds.
 */
constexpr std::size_t MaxUnparsedBytes = MaxFieldBytes;
/** Heads with a status of 1xx before the one of the answer. */
constexpr int MaxInterimHeads = 16;
constexpr absl::Duration MaxRest = absl::Seconds(30);
/** Before the endpoint closes a connection at rest, it is closed here. */
constexpr absl::Duration RestMargin = absl::Milliseconds(700);
constexpr unsigned UserTimeoutMs = 3000;

/** How long an answer says that its connection may rest: Keep-Alive's
 * timeout in whole seconds.
 */
absl::Duration AllowedRest(const HttpFields& fields)
{
  const absl::string_view value = FieldOf(fields, "Keep-Alive");
  for (absl::string_view part : absl::StrSplit(value, ',')) {
    const std::pair<absl::string_view, absl::string_view> pair =
      absl::StrSplit(part, absl::MaxSplits('=', 1));
    int seconds = 0;
    const bool isTimeout =
      absl::StripAsciiWhitespace(pair.first) == "timeout" &&
      absl::SimpleAtoi(pair.second, &seconds);
    if (isTimeout) {
      return std::max(absl::Seconds(seconds) - RestMargin,
                      absl::ZeroDuration());
    }
  }
  return MaxRest;
}

} // namespace

HttpClientConnection::HttpClientConnection(HttpClient& client, EventLoop& loop,
                                           std::string address)
  : client_(&client)
  , loop_(loop)
  , address_(std::move(address))
  , socket_(loop)
  , connectTimer_(loop)
{
  client_->NoteOpened(address_);
}

HttpClientConnection::~HttpClientConnection()
{
  if (client_ != nullptr && !closed_) {
    client_->NoteClosed(address_);
  }
}

void HttpClientConnection::Begin(std::string request,
                                 const HttpCallOptions& options,
                                 HttpCallHandler handler)
{
  request_ = std::move(request);
  handler_ = std::move(handler);
  answerHasBody_ = options.answerHasBody;
  inCall_ = true;
  requestSent_ = false;
  sendError_ = {};
  headTold_ = false;
  interimHeads_ = 0;
  StartParser();
  if (connected_) {
    Send();
  } else {
    Connect(options.connectTimeout);
  }
}

void HttpClientConnection::StartParser()
{
  parser_.emplace();
  parser_->eager(true);
  parser_->header_limit(MaxUnparsedBytes);
  // Without a limit the library takes each length for one too many, if the
  // head comes alone.
  parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
  parser_->skip(!answerHasBody_);
}

void HttpClientConnection::Connect(absl::Duration timeout)
{
  const Outcome<tcp::endpoint> endpoint = ParseTcpEndpoint(address_);
  auto self = shared_from_this();
  if (!Succeeded(endpoint)) {
    asio::post(loop_, [self] { self->EndCall(HttpCallEnd::NotConnected); });
    return;
  }
  connectTimer_.expires_after(absl::ToChronoMilliseconds(timeout));
  connectTimer_.async_wait([self](error_code error) {
    const bool late = !error && !self->connected_;
    if (late) {
      self->NoteConnect(ConnectResult::NoAnswer);
      self->EndCall(HttpCallEnd::Unreached);
    }
  });
  socket_.async_connect(
    Value(endpoint), [self](error_code error) { self->OnConnected(error); });
}

void HttpClientConnection::NoteConnect(ConnectResult result)
{
  if (client_ != nullptr) {
    client_->NoteConnect(address_, result);
  }
}

void HttpClientConnection::OnConnected(error_code error)
{
  connectTimer_.cancel();
  if (closed_) {
    return;
  }
  if (error) {
    NoteConnect(ConnectResultOf(error));
    EndCall(HttpCallEnd::NotConnected);
    return;
  }
  NoteConnect(ConnectResult::Connected);
  connected_ = true;
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  const asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>
    userTimeout(UserTimeoutMs);
  socket_.set_option(userTimeout, ignored);
  Send();
}

void HttpClientConnection::Send()
{
  asio::async_write(
    socket_, asio::buffer(request_),
    [self = shared_from_this()](error_code error, std::size_t /*bytes*/) {
      self->OnSent(error);
    });
  Read();
}

/** The call goes on: its answer may be whole, or become so, by its framing. */
void HttpClientConnection::OnSent(error_code error)
{
  requestSent_ = !error;
  sendError_ = error;
}

void HttpClientConnection::Read()
{
  if (isReading_ || closed_) {
    return;
  }
  isReading_ = true;
  socket_.async_read_some(
    input_.prepare(std::min(ReadBytes, MaxUnparsedBytes - input_.size())),
    [self = shared_from_this()](error_code error, std::size_t bytes) {
      self->OnRead(error, bytes);
    });
}

void HttpClientConnection::OnRead(error_code error, std::size_t bytes)
{
  isReading_ = false;
  if (closed_) {
    return;
  }
  if (error) {
    OnInputEnd(error);
    return;
  }
  if (!inCall_) {
    Close(); // bytes that no call waits for
    return;
  }
  input_.commit(bytes);
  try {
    ParseInput();
  } catch (const std::exception& error) {
    const ConnectionError thrown(error.what());
    EndCall(HttpCallEnd::Cut);
    throw thrown;
  }
  Read();
}

/** Ends the call when the answer is whole or can't become sound. */
void HttpClientConnection::ParseInput()
{
  auto self = shared_from_this(); // a handler may let go of the call
  while (inCall_ && !closed_ && input_.size() > 0) {
    error_code error;
    const std::size_t used = parser_->put(input_.data(), error);
    input_.consume(used);
    const bool isRefused = error && error != http::error::need_more;
    const bool isTooLong =
      error == http::error::header_limit ||
      (input_.size() >= MaxUnparsedBytes && error == http::error::need_more);
    if (isRefused || isTooLong) {
      EndUnsound({ isTooLong ? AnswerFault::TooLong : AnswerFault::Syntax,
                   error.message() });
      return;
    }
    if (!TellHead()) {
      return;
    }
    TellBody();
    if (closed_ || !inCall_) {
      return;
    }
    if (parser_->is_done()) {
      CompleteCall();
    } else if (error == http::error::need_more) {
      return;
    }
  }
}

/** \return false when the call is over */
bool HttpClientConnection::TellHead()
{
  if (headTold_ || !parser_->is_header_done()) {
    return true;
  }
  const HttpHead& head = parser_->get().base();
  if (const auto unsound = FindUnsound(head, answerHasBody_)) {
    EndUnsound(*unsound);
    return false;
  }
  if (IsInterimStatus(head.result_int())) {
    if (++interimHeads_ > MaxInterimHeads) {
      EndUnsound({ AnswerFault::InterimHeads, absl::StrCat(interimHeads_) });
      return false;
    }
    StartParser();
    return true;
  }
  headTold_ = true;
  const BodyFraming framing = !parser_->is_done() && parser_->need_eof()
                                ? BodyFraming::ByClose
                                : BodyFraming::Explicit;
  if (!handler_.onHead(head, framing)) {
    EndCall(HttpCallEnd::Refused);
    return false;
  }
  return !closed_ && inCall_;
}

void HttpClientConnection::TellBody()
{
  if (!headTold_ || parser_->get().body().size() == 0) {
    return;
  }
  const boost::beast::flat_buffer body =
    std::exchange(parser_->get().body(), {});
  const auto bytes = body.cdata();
  handler_.onBody({ static_cast<const char*>(bytes.data()), bytes.size() });
}

void HttpClientConnection::OnInputEnd(error_code error)
{
  if (!inCall_) {
    Close();
    return;
  }
  const bool endsByClose =
    headTold_ && parser_->need_eof() && !parser_->is_done();
  if (!endsByClose || error != asio::error::eof) {
    EndCall(HttpCallEnd::Cut);
    return;
  }
  // A write that has met a reset may wait for its turn behind this read.
  asio::post(loop_, [self = shared_from_this()] {
    if (!self->closed_) {
      self->EndByClose();
    }
  });
}

/** A socket reports a reset to one operation. If that was the write, the read
 * has seen an end that looks orderly.
 */
void HttpClientConnection::EndByClose()
{
  if (sendError_) {
    EndUnsound({ AnswerFault::SendFailed, sendError_.message() });
    return;
  }
  error_code ended;
  parser_->put_eof(ended);
  EndCall(ended ? HttpCallEnd::Cut : HttpCallEnd::EndedByClose);
}

/** The connection may rest only if nothing more came, or is to be sent. */
void HttpClientConnection::CompleteCall()
{
  const bool reusable = parser_->keep_alive() && !parser_->need_eof() &&
                        input_.size() == 0 && requestSent_;
  if (!reusable || client_ == nullptr) {
    EndCall(HttpCallEnd::Complete);
    return;
  }
  restingSince_ = ElapsedNow();
  restsUntil_ = restingSince_ + AllowedRest(parser_->get());
  inCall_ = false;
  parser_.reset();
  request_.clear();
  HttpCallHandler handler = std::exchange(handler_, {});
  client_->PutResting(shared_from_this());
  Read();
  handler.onEnd(HttpCallEnd::Complete);
}

/** As an answer that is cut off: it may have been carried out. */
void HttpClientConnection::EndUnsound(const UnsoundAnswer& answer)
{
  if (client_ != nullptr) {
    client_->NoteUnsound(address_, answer);
  }
  if (handler_.onUnsound) {
    handler_.onUnsound(answer);
  }
  EndCall(HttpCallEnd::Cut);
}

void HttpClientConnection::EndCall(HttpCallEnd end)
{
  auto self = shared_from_this();
  const bool tell = std::exchange(inCall_, false);
  HttpCallHandler handler = std::exchange(handler_, {});
  Close();
  if (tell) {
    handler.onEnd(end);
  }
}

void HttpClientConnection::Cancel()
{
  if (!inCall_) {
    return;
  }
  inCall_ = false;
  // One of the handlers may be running: they are destroyed later.
  asio::post(loop_, [done = std::exchange(handler_, {})] {});
  Close();
}

void HttpClientConnection::Close()
{
  if (std::exchange(closed_, true)) {
    return;
  }
  connectTimer_.cancel();
  error_code ignored;
  socket_.close(ignored);
  if (client_ != nullptr) {
    client_->RemoveResting(*this);
    client_->NoteClosed(address_);
  }
}

} // namespace detail
} // namespace wg
