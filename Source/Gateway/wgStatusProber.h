// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "wgDialect.h"
#include "wgDirectory.h"
#include "wgGatewayMetrics.h"
#include "wgLoopTimer.h"
#include "wgRelayClient.h"

namespace wg {

/** \brief What came of a question to an endpoint. */
struct EndpointStatus
{
  enum class Result
  {
    Answered,
    NoAnswer, // a connection came up, and no head came over it in time
    Unsound,  // what came was no sound answer, or did not end within the
              // bounds: it is in trouble
    Gone      // none came up, or another start has the address
  };
  Result result = Result::NoAnswer;
  bool hasRuns = false;          // whether it reported what it works on
  std::vector<EndpointRun> runs; // that it reported
};

/** \class StatusProber
 * \brief Asks endpoints over connections of their own whether they are there
 * and what they work on. Whoever asks while a question is open shares it.
 */
class StatusProber
{
public:
  /** Runs on the loop, exactly once, and never before Ask has returned. */
  using Done = std::function<void(const EndpointStatus&)>;

  StatusProber(EventLoop& loop, RelayClient& calls, Directory& directory,
               const Dialect& dialect, GatewayMetrics& metrics);

  /** \param path that answers at once, whatever the endpoint works on */
  void Ask(const DirectoryEndpoint& endpoint, const std::string& path,
           Done done);

private:
  struct Question
  {
    std::unique_ptr<HttpCall> call;
    std::unique_ptr<LoopTimer> timer;
    bool isRelayed = false;
    unsigned status = 0;
    std::string body;
    bool isTooLong = false;
    bool isUnsound = false; // the head, or what frames its body
    std::vector<Done> done;
  };

  void OnBody(const std::string& endpoint, absl::string_view bytes);
  void OnEnd(const std::string& endpoint, HttpCallEnd end);
  void OnLate(const std::string& endpoint);
  void FinishUnsound(const std::string& endpoint);
  void Finish(const std::string& endpoint, const EndpointStatus& status);

  EventLoop& loop_;
  RelayClient& calls_;
  Directory& directory_;
  const Dialect& dialect_;
  GatewayMetrics& metrics_;
  std::map<std::string, Question> questions_; // by endpoint
};

} // namespace wg
