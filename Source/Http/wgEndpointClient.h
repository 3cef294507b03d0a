// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"

#include "wgAttempts.h"
#include "wgElapsed.h"
#include "wgEndpointState.h"
#include "wgHttpClient.h"

namespace wg {

/** \brief Where an endpoint is. */
struct EndpointAddress
{
  std::string host;
  int port = 0;

  bool operator<(const EndpointAddress& other) const
  {
    return host != other.host ? host < other.host : port < other.port;
  }
};

/** \brief One call of an endpoint. */
struct EndpointCall
{
  EndpointAddress address;
  std::string path;
  std::string body; // JSON
  AttemptId attempt;
  int priority = 0;
  Elapsed deadline;
  bool mayReuseConnection = true;
  /** The version that may answer; nothing: any may. */
  std::optional<std::string> version;
  /** Gets the answer's bytes as they come; false breaks the call off. Empty:
   * the answer is gathered in EndpointReply::body.
   */
  std::function<bool(absl::string_view bytes)> onBytes;
};

/** \brief How a call ended, and what the endpoint said of its load. */
struct EndpointReply
{
  AttemptEnd end = AttemptEnd::Failed;
  int status = 0;
  std::string body;
  AttemptId echoed;       // the ids that came back with the answer
  bool isForeign = false; // they are not this attempt's: nothing of it is read
  std::string version;    // as the endpoint reports it; empty: none
  bool isOtherVersion = false; // than the call's: nothing of it is read
  bool hasLoad = false;
  LoadReport load;
  bool deadlinePassed = false;
  double seconds = 0.0;
};

/** \class EndpointClient
 * \brief Calls endpoints over HTTP, and reuses their connections.
 */
class EndpointClient
{
public:
  EndpointClient();
  ~EndpointClient();
  EndpointReply Call(const EndpointCall& call);
  /** \brief Breaks off the calls whose deadline has passed. To be called a
   * hundred times a second by one thread.
   */
  void BreakOffLateCalls(Elapsed now);
  std::size_t CountOpenCalls();

private:
  struct Link;

  struct OpenCall
  {
    std::shared_ptr<Link> link;
    Elapsed deadline;
    bool broken = false;
  };

  static std::optional<HttpCallEnd> Exchange(const EndpointCall& call,
                                             std::string request, Link& link,
                                             EndpointReply& reply);
  std::shared_ptr<Link> TakeLink(const EndpointCall& call);
  void ReturnLink(const EndpointCall& call, std::shared_ptr<Link> link);
  bool CloseCall(std::uint64_t id);

  absl::Mutex mutex_;
  std::map<EndpointAddress, std::vector<std::shared_ptr<Link>>> idle_
    ABSL_GUARDED_BY(mutex_);
  absl::flat_hash_map<std::uint64_t, OpenCall> open_ ABSL_GUARDED_BY(mutex_);
  std::uint64_t nextId_ ABSL_GUARDED_BY(mutex_) = 1;
};

/** \brief Gets a JSON document; empty when it can't be had. */
std::string FetchText(const EndpointAddress& address, const std::string& path,
                      absl::Duration timeout);

} // namespace wg
