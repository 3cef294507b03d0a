// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include "wgElapsed.h"
#include "wgHttpServer.h"

namespace wg {
namespace detail {

/** \class HttpServerConnection
 * \brief One caller's connection: reads a request, waits for the answer to be
 * written, reads the next.
 *
 * It goes on reading while a request is answered, so that a caller that
 * leaves is noticed at once.
 */
class HttpServerConnection
  : public std::enable_shared_from_this<HttpServerConnection>
{
public:
  HttpServerConnection(HttpServer& server,
                       boost::asio::ip::tcp::socket socket);

  void Start();
  /** \brief Ends the connection if it has been slow or at rest too long. */
  void CheckTimeouts(Elapsed now);
  void Write(std::string bytes);
  /** \brief The answer is written as a whole; `keep` allows another request.
   */
  void EndAnswer(bool keep);
  /** \brief From now on the connection ends by a reset, also where the process
   * is killed, unless EndAnswer comes before: the answer has no other end.
   */
  void ResetUnlessFinished();
  void Close();
  bool IsBusy() const { return exchange_ != nullptr || parser_.has_value(); }
  bool IsDraining() const { return server_ == nullptr || server_->draining_; }

  /** \brief The server is gone; nothing of it may be used any more. */
  void Detach() { server_ = nullptr; }

private:
  using Parser =
    boost::beast::http::request_parser<boost::beast::http::string_body>;

  void Read();
  void OnRead(boost::system::error_code error, std::size_t bytes);
  void TakeInput();
  void ParseInput();
  void StartParser();
  void NoteHead();
  void ContinueIfAsked();
  void TakeRequest();
  std::size_t RequestBytes() const;
  bool CountRequest();
  void RefuseInput(HttpResponse response);
  bool IsOutputTooLong() const;
  bool IsStalled(Elapsed now) const;
  void CountOutput();
  void StartWrite();
  void WritePart();
  void OnWritten(boost::system::error_code error, std::size_t bytes);
  void AfterAnswer();
  void Linger();

  HttpServer* server_;
  boost::asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer input_;
  std::optional<Parser> parser_;
  /** Of a request with a body in chunks: what stood before the body. */
  std::optional<HttpRequest::header_type> head_;
  std::shared_ptr<HttpExchange> exchange_;
  std::string output_;
  std::string writing_;
  std::size_t written_ = 0; // of `writing_`
  std::size_t counted_ = 0; // of what waits, in the server's sum
  std::size_t requestCounted_ = 0;
  Elapsed progressed_; // a part of the answer was written
  Elapsed due_;        // of what is being read, or of the rest
  bool isReading_ = false;
  bool isWriting_ = false;
  bool answerEnded_ = false;
  bool keepOpen_ = true;
  bool lingers_ = false;
  bool saidContinue_ = false;
  bool closed_ = false;
};

} // namespace detail
} // namespace wg
