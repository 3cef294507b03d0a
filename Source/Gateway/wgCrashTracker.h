// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "absl/random/random.h"
#include "absl/strings/string_view.h"

#include "wgCrashEvidence.h"
#include "wgCrashWatch.h"
#include "wgDecisionLog.h"
#include "wgGatewayMetrics.h"
#include "wgPeer.pb.h"
#include "wgPeerClient.h"

namespace wg {

/** \class CrashTracker
 * \brief Which requests, or parts of their prompts, end the endpoints that run
 * them, as all boxes together saw it: such a request may come to any box.
 *
 * What this box notes it tells every control box at once, and these tell all
 * gateways. A control box that lacks what others know (it was cut off, or lost
 * its disk) is told by whoever hears that.
 */
class CrashTracker
{
public:
  CrashTracker(EventLoop& loop, Directory& directory, DecisionLog& log,
               GatewayMetrics& metrics);

  /** \brief Before anything is told; the client outlives this. */
  void SetPeers(PeerClient& peers) { peers_ = &peers; }

  /** \brief How many boxes send requests, this one included. */
  void SetBoxes(std::size_t boxes) { evidence_.boxes = boxes; }

  void SetConfirmPath(CrashWatch::ConfirmPath confirm)
  {
    watch_.SetConfirmPath(std::move(confirm));
  }
  /** \brief An attempt was cut off after it was sent. */
  void Cut(absl::string_view endpoint, absl::Span<const CrashSuspect> suspects)
  {
    watch_.Cut(endpoint, suspects);
  }
  /** \brief An endpoint has answered; it has not ended. */
  void Alive(absl::string_view endpoint) { watch_.Alive(endpoint); }
  /** \brief The request was answered by an endpoint as a whole. */
  void Answered(absl::string_view fingerprint);
  /** \brief An endpoint went on to write an answer on a prompt with them. */
  void PartsAnswered(absl::Span<const CrashSuspect> parts);
  /** \brief The directory has changed. */
  void NoteDirectory() { watch_.NoteDirectory(); }
  /** \brief Takes in what a control box tells in a reply to a follower. */
  void TakeReply(const std::string& control, const wire::FollowReply& reply);

  /** \brief Whether nothing is known of any request. */
  bool IsEmpty() const { return evidence_.records.empty(); }
  bool IsKeptAway(absl::string_view fingerprint) const
  {
    return IsQuarantined(evidence_, RequestSuspect(fingerprint));
  }
  /** \brief A request has come with these parts. */
  void PartsArrived(absl::Span<const CrashSuspect> parts)
  {
    NotePartsArrived(evidence_, parts, ElapsedNow());
  }
  /** \brief Whether one of the parts ends endpoints. */
  bool AreKeptAway(absl::Span<const CrashSuspect> parts) const;
  /** \brief How many suspects of a kind are sent to no endpoint. */
  std::size_t KeptAway(wire::CrashCause cause) const;

private:
  /** What a control box is known to know. */
  struct Control
  {
    std::uint64_t incarnation = 0;
    std::map<CrashKey, bool> known; // and whether it is outweighed there
    bool isCalled = false;
  };

  void OnEnded(const EndedEndpoint& ended);
  void NoteOutweighed(const CrashSuspect& suspect, Elapsed now);
  void TellOutweighed();
  void NoteChanges();
  void Forget();
  wire::Crashes NewsFor(const Control& control) const;
  void Tell(const std::string& address);
  void TellAll();
  void OnTold(const std::string& address, std::uint64_t incarnation,
              const wire::Crashes& told, bool taken);

  EventLoop& loop_;
  DecisionLog& log_;
  GatewayMetrics& metrics_;
  PeerClient* peers_ = nullptr;
  CrashEvidence evidence_;
  std::map<CrashKey, Elapsed> tellFrom_;
  absl::BitGen random_;
  std::set<CrashSuspect> logged_;           // quarantined, as the log has it
  std::map<std::string, Control> controls_; // by address
  Elapsed forgetFrom_;
  CrashWatch watch_;
};

} // namespace wg
