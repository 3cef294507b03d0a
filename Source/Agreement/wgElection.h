// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "wgReplica.h"

// Leader election.
namespace wg::detail {

void BecomeLeader(Replica& r, Elapsed now);

/** \brief Requests pre-votes, so that a failed election raises no term. */
void StartPreVote(Replica& r, Elapsed now, absl::BitGenRef random);

void OnVoteRequest(Replica& r, const wire::AgreementMessage& m, Elapsed now,
                   absl::BitGenRef random);
/** \brief Answers a deferred pre-vote request once this replica may vote;
 * without it, the candidate would wait for its next election timeout. To the
 * candidate the request seems delayed by the network.
 */
void AnswerDeferredPreVote(Replica& r, Elapsed now, absl::BitGenRef random);

void OnVoteReply(Replica& r, const wire::AgreementMessage& m, Elapsed now);

} // namespace wg::detail
