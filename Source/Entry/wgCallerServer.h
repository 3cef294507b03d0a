// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <memory>
#include <string>
#include <thread>

#include "wgOutcome.h"
#include "wgRequestRunner.h"
#include "wgSocket.h"

namespace httplib {
class Server;
struct Request;
struct Response;
}

namespace wg {

/** \brief Bounds on what callers may send. */
struct CallerLimits
{
  std::size_t maxBodyBytes = 1U << 20U;
  std::size_t maxConnections = 512;
  absl::Duration readTimeout = absl::Seconds(5);
};

/** \class CallerServer
 * \brief The HTTP interface towards callers and the platform's balancer.
 */
class CallerServer
{
public:
  CallerServer(RunnerContext context, CallerLimits limits);
  ~CallerServer();
  Outcome<Done> Start(const SocketAddress& address);
  /** \brief Closes the port and returns once no request is left. */
  void Stop();

private:
  void AddRoutes();
  void OnPipeline(const httplib::Request& request,
                  httplib::Response& response);
  void AnswerWhole(const std::shared_ptr<RequestRunner>& runner,
                   const std::string& id, httplib::Response& response);
  void AnswerStream(const std::shared_ptr<RequestRunner>& runner,
                    const std::string& id, httplib::Response& response);
  void Refuse(const RequestFailure& failure, httplib::Response& response);
  void NoteEnd(const std::string& id, Reason reason);

  RunnerContext context_;
  CallerLimits limits_;
  std::unique_ptr<httplib::Server> server_;
  std::thread thread_;
};

/** \brief A failure as application/problem+json (RFC 9457). */
nlohmann::json ProblemOf(const RequestFailure& failure);

} // namespace wg
