// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/types/span.h"

#include "wgDialect.h"
#include "wgDirectory.h"
#include "wgEndpointCall.h"
#include "wgHttpClient.h"
#include "wgLoopTimer.h"
#include "wgTermsTracker.h"

namespace wg {

/** \class ResultReleaser
 * \brief Tells endpoints which results are no longer needed, several at once.
 */
class ResultReleaser
{
public:
  ResultReleaser(EventLoop& loop, HttpClient& client, Directory& directory,
                 const Dialect& dialect, TermsTracker& terms,
                 GatewayMetrics& metrics);
  /** \brief How endpoints are called; directly, unless this is set. */
  void SetCalls(StartEndpointCall calls) { startCall_ = std::move(calls); }
  void Release(absl::Span<const std::string> handles);

  using Confirmed = std::function<void(absl::Span<const std::string>)>;
  /** \brief Is told of handles that their maker says are gone. */
  void OnConfirmed(Confirmed confirmed) { confirmed_ = std::move(confirmed); }

private:
  void Flush();
  void Send(const std::string& address,
            const std::vector<std::string>& handles);
  /** \brief A release that is under way. */
  struct Call
  {
    std::string maker; // empty: it has left
    std::unique_ptr<HttpCall> http;
    std::unique_ptr<LoopTimer> timer;
    unsigned status = 0;         // 0: no head has come
    std::size_t answerBytes = 0; // of the body, which says nothing
  };
  void OnBody(std::uint64_t number, std::size_t bytes);
  void OnLate(std::uint64_t number);
  void NoteTrouble(const Call& call);

  EventLoop& loop_;
  HttpClient& client_;
  StartEndpointCall startCall_;
  Directory& directory_;
  const Dialect& dialect_;
  TermsTracker& terms_;
  GatewayMetrics& metrics_;
  LoopTimer timer_;
  bool armed_ = false;
  std::map<std::string, std::vector<std::string>> pending_; // by address
  std::map<std::uint64_t, Call> calls_;
  std::uint64_t nextCall_ = 1;
  Confirmed confirmed_;
};

} // namespace wg
