// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "wgReplica.h"

// How a leader is found.
namespace wg::detail {

void BecomeLeader(Replica& r, Elapsed now);

/** \brief Asks whether others would vote, before a term is spent on it. */
void StartPreVote(Replica& r, Elapsed now, absl::BitGenRef random);

void OnVoteRequest(Replica& r, const wire::AgreementMessage& m, Elapsed now,
                   absl::BitGenRef random);
/** \brief Answers a pre-vote that came before this replica might vote, once
 * it may: who asked would wait for its next election time otherwise. To it
 * this is a message that was long on its way.
 */
void AnswerDeferredPreVote(Replica& r, Elapsed now, absl::BitGenRef random);

void OnVoteReply(Replica& r, const wire::AgreementMessage& m, Elapsed now);

} // namespace wg::detail
