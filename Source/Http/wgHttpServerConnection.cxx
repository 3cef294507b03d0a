// SPDX-License-Identifier: Apache-2.0
#include "wgHttpServerConnection.h"

#include <algorithm>
#include <utility>

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include "wgRunLoop.h"

namespace wg {
namespace detail {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::size_t ReadBytes = 8192;
/** What the parser has not used yet: a head, a line of a chunk, trailers, or
 * what a caller sends ahead while its request is being answered. No field can
 * be longer than the parser holds.
 */
constexpr std::size_t MaxUnparsedBytes = MaxFieldBytes;
/** What may wait for a caller that reads slowly. */
constexpr std::size_t MaxOutputBytes = 8U << 20U;
/** Of all callers of a server; beyond it the fair amount waits all the same.
 */
constexpr std::size_t MaxOutputBytesOfAll = 48U << 20U;
constexpr std::size_t FairOutputBytes = 256U << 10U;
/** Written at once: a caller that takes less within StalledTime stands still
 * or is as slow as one that does.
 */
constexpr std::size_t WriteBytes = 256U << 10U;
constexpr absl::Duration StalledTime = absl::Seconds(2);
/** Of the bodies of all requests that are read or answered: the smallest boxes
 * have 160 MB, and a request is kept a second time as it is passed on. Beyond
 * it those of the fair amount go on.
 */
constexpr std::size_t MaxRequestBytesOfAll = 24U << 20U;
constexpr std::size_t FairRequestBytes = 64U << 10U;
constexpr absl::string_view RetryAfterCrowd = "1.00"; // seconds
constexpr absl::Duration LingerTime = absl::Seconds(1);

unsigned StatusFor(error_code error)
{
  constexpr unsigned badRequest = 400;
  constexpr unsigned tooLarge = 413;
  constexpr unsigned headerTooLarge = 431;
  if (error == http::error::body_limit) {
    return tooLarge;
  }
  if (error == http::error::header_limit) {
    return headerTooLarge;
  }
  return badRequest;
}

} // namespace

HttpServerConnection::HttpServerConnection(HttpServer& server,
                                           asio::ip::tcp::socket socket)
  : server_(&server)
  , socket_(std::move(socket))
  , due_(ElapsedNow() + server.limits_.idleTimeout)
{
}

void HttpServerConnection::Start()
{
  error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  Read();
}

void HttpServerConnection::Read()
{
  const bool isFull =
    input_.size() >= MaxUnparsedBytes; // while it is answered
  if (isReading_ || closed_ || isFull) {
    return;
  }
  isReading_ = true;
  socket_.async_read_some(
    input_.prepare(std::min(ReadBytes, MaxUnparsedBytes - input_.size())),
    [self = shared_from_this()](error_code error, std::size_t bytes) {
      self->OnRead(error, bytes);
    });
}

void HttpServerConnection::OnRead(error_code error, std::size_t bytes)
{
  isReading_ = false;
  if (closed_) {
    return;
  }
  if (error) {
    Close();
    return;
  }
  if (lingers_) {
    input_.clear();
    Read();
    return;
  }
  input_.commit(bytes);
  TakeInput();
}

void HttpServerConnection::TakeInput()
{
  try {
    ParseInput();
  } catch (const std::exception& error) {
    const ConnectionError thrown(error.what());
    Close();
    throw thrown;
  }
  Read();
}

void HttpServerConnection::StartParser()
{
  const HttpLimits& limits = server_->limits_;
  parser_.emplace();
  parser_->header_limit(static_cast<std::uint32_t>(limits.headerBytes));
  parser_->body_limit(limits.bodyBytes);
  parser_->eager(false); // stops after the fields before the body
  head_.reset();
  due_ = ElapsedNow() + limits.headerTimeout;
  saidContinue_ = false;
}

void HttpServerConnection::ParseInput()
{
  while (!closed_ && !lingers_ && exchange_ == nullptr && input_.size() > 0 &&
         server_ != nullptr) {
    if (!parser_) {
      StartParser();
    }
    error_code error;
    const std::size_t used = parser_->put(input_.data(), error);
    input_.consume(used);
    if (error == http::error::need_more && input_.size() >= MaxUnparsedBytes) {
      error = http::error::header_limit;
    }
    if (error == http::error::need_more) {
      ContinueIfAsked();
      return;
    }
    if (error) {
      RefuseInput(MakeResponse(StatusFor(error), "", ""));
      return;
    }
    NoteHead();
    if (!CountRequest()) {
      ++server_->refusedBodies_;
      constexpr unsigned unavailable = 503;
      HttpResponse response = MakeResponse(unavailable, "", "");
      response.set(http::field::retry_after, std::string(RetryAfterCrowd));
      RefuseInput(std::move(response));
      return;
    }
    if (parser_->is_done()) {
      TakeRequest();
    } else {
      ContinueIfAsked();
    }
  }
}

/** Of the body: what a length announces is as good as there. */
std::size_t HttpServerConnection::RequestBytes() const
{
  if (exchange_ != nullptr) {
    return exchange_->Request().body().size();
  }
  if (closed_ || !parser_ || !parser_->is_header_done()) {
    return 0;
  }
  const auto length = parser_->content_length();
  return std::max(length ? static_cast<std::size_t>(*length) : 0,
                  parser_->get().body().size());
}

/** \return false if the body is one too many beside those of the others */
bool HttpServerConnection::CountRequest()
{
  const std::size_t bytes = RequestBytes();
  if (server_ == nullptr) {
    return true;
  }
  server_->requestBytes_ += bytes;
  server_->requestBytes_ -= std::exchange(requestCounted_, bytes);
  const std::size_t most =
    std::max(MaxRequestBytesOfAll, server_->limits_.bodyBytes);
  return bytes <= FairRequestBytes || server_->requestBytes_ <= most;
}

/** Fields after a body in chunks are not merged into those before it. */
void HttpServerConnection::NoteHead()
{
  if (parser_->eager() || !parser_->is_header_done()) {
    return;
  }
  if (parser_->chunked()) {
    head_ = parser_->get().base();
  }
  parser_->eager(true);
}

void HttpServerConnection::ContinueIfAsked()
{
  if (!parser_->is_header_done() || saidContinue_) {
    return;
  }
  saidContinue_ = true;
  if (FieldOf(parser_->get(), "Expect") == "100-continue") {
    Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void HttpServerConnection::TakeRequest()
{
  HttpRequest request = parser_->release();
  if (head_) {
    request.base() = std::move(*head_);
  }
  exchange_ =
    std::make_shared<HttpExchange>(weak_from_this(), std::move(request));
  head_.reset();
  parser_.reset();
  answerEnded_ = false;
  server_->handler_(exchange_);
}

/** The rest of what the caller sends is read for a while and dropped, or it
 * would lose the answer to a reset.
 */
void HttpServerConnection::RefuseInput(HttpResponse response)
{
  parser_.reset();
  CountRequest();
  response.set(http::field::connection, "close");
  answerEnded_ = true;
  keepOpen_ = false;
  Write(PrintHead(response));
}

void HttpServerConnection::Write(std::string bytes)
{
  if (closed_) {
    return;
  }
  if (output_.empty()) {
    output_ = std::move(bytes);
  } else {
    output_ += bytes;
  }
  CountOutput();
  // An answer that is written at once is as long as it is.
  if (isWriting_ && IsOutputTooLong()) {
    Close();
    return;
  }
  StartWrite();
}

bool HttpServerConnection::IsOutputTooLong() const
{
  const bool isOverAll =
    server_ != nullptr && server_->outputBytes_ > MaxOutputBytesOfAll;
  return output_.size() > (isOverAll ? FairOutputBytes : MaxOutputBytes);
}

void HttpServerConnection::CountOutput()
{
  const std::size_t bytes = closed_ ? 0 : output_.size() + writing_.size();
  if (server_ != nullptr) {
    server_->outputBytes_ += bytes;
    server_->outputBytes_ -= counted_;
  }
  counted_ = bytes;
}

void HttpServerConnection::StartWrite()
{
  if (isWriting_ || output_.empty() || closed_) {
    return;
  }
  isWriting_ = true;
  writing_ = std::exchange(output_, {});
  written_ = 0;
  WritePart();
}

void HttpServerConnection::WritePart()
{
  progressed_ = ElapsedNow();
  asio::async_write(
    socket_,
    asio::buffer(writing_.data() + written_,
                 std::min(WriteBytes, writing_.size() - written_)),
    [self = shared_from_this()](error_code error, std::size_t bytes) {
      self->OnWritten(error, bytes);
    });
}

/** Whether it holds up memory that others want, for a caller that does not
 * read.
 */
bool HttpServerConnection::IsStalled(Elapsed now) const
{
  return isWriting_ && counted_ > FairOutputBytes && server_ != nullptr &&
         server_->outputBytes_ > MaxOutputBytesOfAll / 2 &&
         now - progressed_ >= StalledTime;
}

void HttpServerConnection::OnWritten(error_code error, std::size_t bytes)
{
  written_ += bytes;
  if (!error && !closed_ && written_ < writing_.size()) {
    WritePart();
    return;
  }
  isWriting_ = false;
  if (closed_) {
    return;
  }
  if (error) {
    Close();
    return;
  }
  writing_ = {};
  CountOutput();
  if (!output_.empty()) {
    StartWrite();
    return;
  }
  if (answerEnded_) {
    AfterAnswer();
  }
}

void HttpServerConnection::EndAnswer(bool keep)
{
  answerEnded_ = true;
  keepOpen_ = keep;
  if (!isWriting_ && output_.empty() && !closed_) {
    AfterAnswer();
  }
}

void HttpServerConnection::ResetUnlessFinished()
{
  error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
}

void HttpServerConnection::AfterAnswer()
{
  answerEnded_ = false;
  exchange_.reset();
  CountRequest();
  if (!keepOpen_) {
    Linger();
    return;
  }
  due_ = server_ == nullptr ? ElapsedNow()
                            : ElapsedNow() + server_->limits_.idleTimeout;
  auto self = shared_from_this();
  asio::post(socket_.get_executor(), [self] { self->TakeInput(); });
}

void HttpServerConnection::Linger()
{
  error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  socket_.set_option(asio::socket_base::linger(false, 0), ignored);
  lingers_ = true;
  input_.clear();
  due_ = ElapsedNow() + LingerTime;
  Read();
}

void HttpServerConnection::Close()
{
  if (closed_) {
    return;
  }
  closed_ = true;
  CountOutput();
  parser_.reset();
  error_code ignored;
  socket_.close(ignored);
  auto self = shared_from_this();
  if (server_ != nullptr) {
    server_->connections_.erase(this);
  }
  auto exchange = std::exchange(exchange_, nullptr);
  CountRequest();
  if (exchange != nullptr) {
    exchange->NoteCallerLeft();
  }
}

void HttpServerConnection::CheckTimeouts(Elapsed now)
{
  if (IsStalled(now)) {
    Close();
    return;
  }
  const bool answering = exchange_ != nullptr;
  if (answering || server_ == nullptr) {
    return;
  }
  if (now >= due_) {
    const bool midRequest = parser_.has_value() && !lingers_;
    if (!midRequest) {
      Close();
      return;
    }
    constexpr unsigned requestTimeout = 408;
    parser_.reset();
    HttpResponse response = MakeResponse(requestTimeout, "", "");
    response.set(http::field::connection, "close");
    answerEnded_ = true;
    keepOpen_ = false;
    Write(PrintHead(response));
    return;
  }
  const bool atRest = !parser_.has_value() && !lingers_ && !isWriting_;
  if (atRest && now >= server_->restUntil_) {
    Close();
  }
}

} // namespace detail
} // namespace wg
