// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/span.h"

#include "wgControlFollower.h"
#include "wgDirectory.h"
#include "wgGatewayMetrics.h"
#include "wgOriginMessages.h"
#include "wgPeer.pb.h"
#include "wgPeerClient.h"
#include "wgStageClient.h"
#include "wgStreamOrigin.h"

namespace wg {

/** \class StreamOrigins
 * \brief Which service and version began each stream that its caller may take
 * up, at this box or another; on the loop.
 *
 * Copies are sent to other boxes and to control boxes as the first event
 * passes, without waiting for them. They are found by the name of the request
 * alone, as its caller gives no more, in the rendezvous order of request and
 * box.
 */
class StreamOrigins
{
public:
  /** Runs on the loop, exactly once. */
  using Found = std::function<void(const OriginVerdict& verdict)>;

  StreamOrigins(EventLoop& loop, PeerClient& peers, StageClient& members,
                const Directory& directory, std::string hall,
                GatewayMetrics& metrics);

  /** \brief Sets how to list the control boxes that are known. */
  void SetControls(std::function<std::vector<KnownControl>()> controls)
  {
    controls_ = std::move(controls);
  }

  /** \brief The first event of a stream passes to its caller.
   * \param request that brought it
   * \param left for which the stream may be taken up
   */
  void Keep(const std::string& request, const StreamOrigin& origin,
            absl::Duration left);

  /** \brief A control box has told of an endpoint. */
  void NoteVersion(const std::string& service, const std::string& version);

  /** \brief Finds what began a stream.
   * \param request that brought its first event; empty: it was not named
   * \param services that may have begun it
   */
  void Find(const std::string& request, absl::Span<const std::string> services,
            Found found);

  /** \brief Takes copies that another box sends.
   * \return OriginsKeptReply, or nothing when this box stops
   */
  std::string Take(const wire::StreamOrigins& origins);
  wire::StreamOriginAnswer Answer(const wire::StreamOriginAsk& ask) const;

  /** \brief This box stops: others get what it keeps. */
  void HandOver();

private:
  struct Search;
  /** \brief A process that is asked. */
  struct Source
  {
    std::string address;
    std::string box;        // empty: a control box
    std::size_t answer = 0; // place of its answer
  };

  /** \brief A copy for a control box. */
  struct QueuedCopy
  {
    wire::StreamOrigin copy;
    std::string next; // control box that gets it if that one fails
  };

  std::vector<OriginKeeper> DescribeOthers(const std::string& request) const;
  void SendCopies(const std::string& request, const OriginRecord& record);
  void NoteVersionsIfDue();
  void QueueForControls(const wire::StreamOrigin& copy);
  void Queue(QueuedCopy copy, const std::string& control);
  void SendIfIdle(const std::string& control);
  void SendBatch(const std::string& control);
  void TakeBatchReply(const std::string& control,
                      const std::vector<QueuedCopy>& copies, bool isKept);
  void SendCopy(const std::string& body, std::vector<GatewayMember> candidates,
                std::size_t next, std::size_t tries);
  std::vector<Source> GatewaySources(const std::string& request,
                                     std::vector<OriginAnswer>& answers) const;
  void Ask(const std::shared_ptr<Search>& search, const Source& source,
           int tries);
  void TakeAnswer(Search& search, const Source& source,
                  const Outcome<std::string>& reply);
  void Finish(Search& search);
  std::vector<StreamOrigin> Possible(
    absl::Span<const std::string> services) const;

  EventLoop& loop_;
  PeerClient& peers_;
  StageClient& members_;
  const Directory& directory_;
  std::string hall_;
  GatewayMetrics& metrics_;
  std::function<std::vector<KnownControl>()> controls_;
  OriginRecords records_;
  std::map<std::string, std::vector<QueuedCopy>> queued_; // by control box
  std::set<std::string> sending_; // control boxes that have not answered yet
  std::map<std::string, std::set<std::string>> versions_; // by service
  Elapsed nextVersions_;
  bool stopping_ = false;
};

} // namespace wg
