// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/types/span.h"

#include "wgAccountShares.h"
#include "wgElapsed.h"
#include "wgEndpointLoad.h"
#include "wgPoolForecast.h"
#include "wgResultRoom.h"
#include "wgRouteTable.h"

namespace wg {

/** \brief One piece of a stage that waits to be made. */
struct StagePiece
{
  std::uint64_t ticket = 0; // its number in the pool
  std::string request;
  std::string fingerprint; // of the request
  std::uint32_t stage = 0;
  std::uint32_t piece = 0;
  std::string key;
  std::string account; // that the work is done for; empty: none was given
  /** Handles of results, the same for all pieces of a work; null: none. */
  std::shared_ptr<const std::vector<std::string>> inputs;
  std::string hall;               // where it had best be made
  std::int64_t crossingBytes = 0; // that it moves if it is made elsewhere
  std::int64_t resultBytes = 0;
  Elapsed arrived;
  Elapsed due;      // when its request ought to be answered
  Elapsed finishBy; // when it must be made for that; due or earlier
  Elapsed deadline; // when its request is given up
  int rank = 0;
  int attempts = 0;
  /** Whether its account was above its share when it was last judged. */
  bool exceeds = false;
};

/** \brief A call that is at work at an endpoint. */
struct StageCallState
{
  Elapsed started;
  double expectedSeconds = 0.0;
};

/** \brief What an endpoint reports of itself, as the pool uses it. */
struct StageReports
{
  std::optional<EndpointLoad> load; // of the last report that was taken in
  ReportTrust trust;
  double othersWork = 0.0; // calls of others that it reported with the load
};

/** \brief An endpoint as the pool sees it. */
struct StageServer
{
  std::string id;
  std::string hall;
  double slowness = 1.0; // measured against what calls should take
  Elapsed slownessNoted;
  Elapsed avoidUntil;          // after failures
  Elapsed closedUntil;         // it takes no more calls than it has had
  std::int64_t roomUsed = 0;   // bytes of results that it keeps or makes
  BufferEvidence roomEvidence; // of its last answer that refused results
  std::int64_t roomBound = UnboundedBuffer;      // what this allows now
  std::map<std::uint64_t, StageCallState> calls; // by number of the call
  StageReports reports;
};

/** \brief The pieces that wait for a service, and its endpoints. */
struct StagePool
{
  StageLimits limits;
  std::vector<StagePiece> waiting;
  std::vector<StageServer> servers;
  /** Of the places of the last calls, what pieces in time left free. */
  double spareShare = 1.0;
  AccountShares shares; // the work of accounts, charged as calls are made
  Elapsed judgedAt;     // when it was last looked for hopeless pieces
};

/** \brief A call to be made now. Its pieces no longer wait. */
struct StageCall
{
  std::string server;
  std::vector<StagePiece> pieces;
  double expectedSeconds = 0.0;
  std::size_t exceeding = 0;  // pieces of accounts above their shares
  double pace = 1.0;          // that its endpoint reported when it was made
  bool followsReport = false; // whether there was a report with a pace
};

/** \brief Whether its request can no longer be answered when it ought to be,
 * even if it were made at once.
 */
bool IsLate(const StagePiece& piece, const StageLimits& limits, Elapsed now);

/** \brief The next call, or nothing while all endpoints are at work, have no
 * room, or would not be done sooner than one that is about to be free.
 *
 * Pieces of requests that can still be answered when they ought to be go
 * before those that can't, and of these the earliest due first. While the
 * pool is contended, pieces of accounts above their shares go behind all
 * others of their rank and of better ones. All that waits goes into one call,
 * up to the batch: a call takes long even for one piece, and pieces gather
 * while all endpoints are at work. A piece that would move much between halls
 * waits a while for an endpoint in its own.
 *
 * The call is charged to the accounts of its pieces with what it should take.
 */
std::optional<StageCall> NextStageCall(StagePool& pool, Elapsed now);

/** \brief Replaces what was charged for a call by what it took.
 * \param seconds 0 for a call that was not run
 * \return false if that is not valid: what was charged is kept
 */
bool SettleStageCall(StagePool& pool, const StageCall& call, double seconds,
                     Elapsed started, Elapsed now);

/** \brief The work that waits, by account. Valid until `pool.waiting`
 * changes.
 */
AccountDemands DemandsOf(const StagePool& pool);

/** \brief The accounts that exceed their shares now. The pool's wait counts
 * late pieces too, as accounts compete for the places that are left to them.
 */
AccountStandings EvaluateAccounts(const StagePool& pool, Elapsed now);

/** \brief Takes out the pieces whose requests are known to end unserved:
 * behind what goes before them, they and what comes after them would be made
 * only after their requests are given up.
 */
std::vector<StagePiece> TakeHopelessPieces(StagePool& pool, Elapsed now);

/** \brief Takes out the pieces of one request's stage. */
std::vector<StagePiece> TakePieces(StagePool& pool,
                                   absl::Span<const std::uint64_t> tickets);

/** \brief Whether results take much of the room that its endpoints have. */
bool AreBuffersScarce(const StagePool& pool);

/** \brief What a call of so many pieces should take, in seconds. */
double ExpectedCallSeconds(const StageLimits& limits, std::size_t pieces);

/** \brief A time by which pieces are served, the least first: of those in
 * time when they must be made, with a lead by rank; later than all of these
 * for those that are late.
 */
Elapsed ServiceOrder(const StagePiece& piece, const StageLimits& limits,
                     Elapsed now);

/** \brief The same for a piece that has yet to come. */
Elapsed ServiceOrderInTime(Elapsed finishBy, int rank);
Elapsed ServiceOrderLate(Elapsed now, int rank);

/** \brief How fast the pool starts pieces in full calls. */
PoolRate ExpectedRate(const StagePool& pool, Elapsed now);

/** \brief How long a piece that came now would wait, in seconds. Late pieces
 * do not count, as they give way.
 */
double ExpectedWaitSeconds(const StagePool& pool, Elapsed now);

/** \brief How long this piece would wait behind those that go before it, and
 * with the others of its work, in seconds.
 */
double ExpectedWaitSeconds(const StagePool& pool, const StagePiece& piece,
                           std::size_t piecesOfWork, Elapsed now);

/** \brief The same, where accounts have been judged already. */
double ExpectedWaitSeconds(const StagePool& pool, const StagePiece& piece,
                           std::size_t piecesOfWork,
                           const AccountStandings& standings, Elapsed now);
/** \brief Takes in what the endpoint has reported, if it is news. This pool's
 * calls, and the request that was answered with the report, are not work of
 * others.
 */
void TakeReport(StageServer& server, const KnownLoad& known, Elapsed now);

/** \brief How long work takes there now by its own report, as a multiple of
 * the usual time; 1 without a report that is fresh and believed, and for
 * differences that are within the spread of call times.
 */
double ReportedPace(const StageServer& server, Elapsed now);

/** \brief Seconds until it has done the work of others that it reported. */
double OthersBusySeconds(const StageServer& server, const StageLimits& limits,
                         Elapsed now);

/** \brief Takes the time of a call into the endpoint's slowness, less what the
 * pace explains that it reported, and compares it with that report.
 * \return whether its reports are ignored from now on
 */
bool NoteCallTime(StageServer& server, const StageLimits& limits,
                  const StageCall& call, double seconds, Elapsed now);

/** \brief Takes the time of a call into the endpoint's slowness. */
void NoteCallTime(StageServer& server, double expected, double seconds,
                  Elapsed now);

/** \brief How much slower than it should be an endpoint is taken to be now.
 * What was measured long ago counts for little, or an endpoint that was slow
 * once would never be tried again.
 */
double SlownessNow(const StageServer& server, Elapsed now);

} // namespace wg
