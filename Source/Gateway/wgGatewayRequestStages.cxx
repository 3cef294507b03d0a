// SPDX-License-Identifier: Apache-2.0
#include "wgGatewayRequest.h"

#include <algorithm>
#include <map>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"

#include "wgResultHandles.h"

namespace wg {
/** A stage of which the request names no number has one piece. */
bool GatewayRequest::ReadStages()
{
  constexpr int maxPieces = 10000;
  constexpr unsigned badRequest = 400;
  constexpr unsigned contentTooLarge = 413;
  if (route_->stages.empty()) {
    return true;
  }
  const HttpRequest& request = exchange_->Request();
  pieceKey_ = std::string(FieldOf(request, Fields().pieceKey));
  if (!IsAscii(pieceKey_)) { // calls of stages are JSON
    Refuse(badRequest, "bad_piece_key");
    return false;
  }
  const std::vector<absl::string_view> counts =
    absl::StrSplit(FieldOf(request, Fields().pieces), ',');
  stages_.resize(route_->stages.size());
  stagesToEnd_ = StagesToEnd(route_->stages);
  for (std::size_t i = 0; i < stages_.size(); ++i) {
    stages_[i].pieces = 1;
    const bool named = i < counts.size() && !counts[i].empty();
    const bool sound =
      !named || (absl::SimpleAtoi(absl::StripAsciiWhitespace(counts[i]),
                                  &stages_[i].pieces) &&
                 stages_[i].pieces >= 0 && stages_[i].pieces <= maxPieces);
    if (!sound) {
      Refuse(badRequest, "bad_pieces");
      return false;
    }
    stages_[i].done = stages_[i].pieces == 0;
  }
  if (!CanNameResults()) {
    Refuse(contentTooLarge, "too_many_pieces");
    return false;
  }
  return true;
}

/** Whether requests can name all results that one of them needs. */
bool GatewayRequest::CanNameResults() const
{
  const auto areListable = [this](absl::Span<const std::size_t> made) {
    std::size_t handles = 0;
    for (const std::size_t stage : made) {
      handles += static_cast<std::size_t>(stages_[stage].pieces);
    }
    return AreListable(handles);
  };
  return areListable(FinalStages(route_->stages)) &&
         std::all_of(route_->stages.begin(), route_->stages.end(),
                     [&areListable](const RouteStage& stage) {
                       return areListable(stage.after);
                     });
}

/** What a call of a stage takes for its pieces alone; nothing if it is left
 * out.
 */
double GatewayRequest::OwnSeconds(std::size_t stage) const
{
  const auto service = table_->services.find(route_->stages[stage].service);
  const bool runs = stages_[stage].pieces > 0 &&
                    service != table_->services.end() &&
                    service->second.stage.has_value();
  return runs ? ExpectedCallSeconds(
                  *service->second.stage,
                  static_cast<std::size_t>(stages_[stage].pieces))
              : 0.0;
}

/** The part of the prompt that no endpoint can hold yet. */
double GatewayRequest::ReadSeconds() const
{
  const std::int64_t ownTokens =
    prompt_.parts.empty() ? prompt_.tokensIn : prompt_.parts.back().tokens;
  return static_cast<double>(ownTokens) * shared_.speed.secondsPerToken;
}

StagePlan GatewayRequest::MakePlan() const
{
  StagePlan plan;
  plan.prefillSeconds = ReadSeconds();
  for (std::size_t i = 0; i < stages_.size(); ++i) {
    plan.stages.push_back({ route_->stages[i].after, OwnSeconds(i) });
  }
  return plan;
}

/** As the pools were last told to be; in seconds, of each stage. */
std::vector<double> GatewayRequest::ToldWaits() const
{
  std::vector<double> waits;
  for (const RouteStage& planned : route_->stages) {
    const StagePoolKey pool =
      shared_.stages.PlaceWork(planned.service, resultHall_);
    waits.push_back(absl::ToDoubleSeconds(shared_.stages.Waiting(pool)));
  }
  return waits;
}

/** Stages, one after the other, until all are done. */
int GatewayRequest::LongestLeft() const
{
  int longest = 0;
  for (std::size_t i = 0; i < stages_.size(); ++i) {
    longest = stages_[i].done ? longest : std::max(longest, stagesToEnd_[i]);
  }
  return longest;
}

bool GatewayRequest::IsReady(std::size_t stage) const
{
  const auto& after = route_->stages[stage].after;
  return std::all_of(after.begin(), after.end(), [this](std::size_t before) {
    return stages_[before].done;
  });
}

void GatewayRequest::SubmitStages()
{
  if (ResultsAreLost() && mayRestartStages_) {
    RestartStages();
    return;
  }
  if (IsKeptAway()) {
    SayNotRun(KeptAwayReason);
    return;
  }
  if (IsEvacuated(shared_.directory.halls, resultHall_)) {
    PlanHall();
  }
  const int longest = LongestLeft();
  const bool isFirst = IsFirstWork();
  bool allDone = true;
  for (std::size_t i = 0; i < stages_.size() && !ended_; ++i) {
    allDone &= stages_[i].done;
    // One on a shorter branch starts later: its results would only wait.
    const bool isDue = stagesToEnd_[i] >= longest;
    if (stages_[i].done || stages_[i].submitted || !IsReady(i) || !isDue) {
      continue;
    }
    stages_[i].submitted = true;
    stages_[i].submittedAt = ElapsedNow();
    wire::StageWork work = MakeWork(i);
    if (isFirst) {
      work.set_admit_ms(absl::ToInt64Milliseconds(MayWait(i)));
    }
    stages_[i].work = shared_.stages.Submit(
      std::move(work),
      [weak = weak_from_this(), i](const wire::StageReply& reply) {
        if (auto self = weak.lock()) {
          self->OnStage(i, reply);
        }
      });
  }
  if (allDone && !ended_) {
    SendToEndpoint();
  }
}

/** Each item fetches all its inputs for itself: it is best made in the hall
 * where most of them lie. A first stage is best made where the engine is.
 */
void GatewayRequest::PlaceWork(std::size_t stage, wire::StageWork& work) const
{
  const RouteStage& planned = route_->stages[stage];
  std::map<std::string, std::int64_t> lies; // bytes by hall
  for (const std::size_t before : planned.after) {
    for (const std::string& handle : stages_[before].handles) {
      const DirectoryEndpoint* maker = FindByAddress(
        shared_.directory, shared_.dialect.addressOfResult(handle));
      lies[maker == nullptr ? "" : maker->hall] +=
        route_->stages[before].resultBytes;
    }
  }
  if (lies.empty()) {
    work.set_hall(resultHall_);
    work.set_crossing_bytes(planned.resultBytes);
    return;
  }
  const auto most = std::max_element(
    lies.begin(), lies.end(),
    [](const auto& a, const auto& b) { return a.second < b.second; });
  work.set_hall(most->first);
  work.set_crossing_bytes(most->second);
}

/** The pool that has granted capacity for the work, if it is where the work
 * is best made.
 */
void GatewayRequest::ChooseStagePool(std::size_t stage, wire::StageWork& work)
{
  Stage& state = stages_[stage];
  const std::string& service = route_->stages[stage].service;
  state.pool = IsAdmittedByChain()
                 ? ChoosePool(shared_.directory, service, work.hall())
                 : shared_.stages.PlaceWork(service, work.hall());
  work.set_pool_hall(state.pool.hall);
  if (state.reserved.number != 0 &&
      state.reserved.pool.hall == state.pool.hall) {
    work.set_reservation(std::exchange(state.reserved, {}).number);
  }
}

/** Whether the stage alone needs its inputs, and one pool made them all whose
 * room is scarce. A
 * request whose stages are executed again keeps its inputs to their end: it
 * could not execute them once more.
 */
bool GatewayRequest::MayReleaseInputs(std::size_t stage) const
{
  const auto& after = route_->stages[stage].after;
  if (stagesRestarted_ || after.empty()) {
    return false;
  }
  const StagePoolKey& pool = stages_[after.front()].pool;
  return std::all_of(
    after.begin(), after.end(), [this, &pool](std::size_t before) {
      const auto successors =
        std::count_if(route_->stages.begin(), route_->stages.end(),
                      [before](const RouteStage& next) {
                        return std::find(next.after.begin(), next.after.end(),
                                         before) != next.after.end();
                      });
      const StagePoolKey& other = stages_[before].pool;
      return successors == 1 && stages_[before].roomScarce &&
             !(other < pool) && !(pool < other);
    });
}

void GatewayRequest::NameInputPool(std::size_t stage,
                                   wire::StageWork& work) const
{
  if (work.inputs().empty() || !MayReleaseInputs(stage)) {
    return;
  }
  const StagePoolKey& pool = stages_[route_->stages[stage].after.front()].pool;
  work.set_input_service(pool.service);
  work.set_input_hall(pool.hall);
}

wire::StageWork GatewayRequest::MakeWork(std::size_t stage)
{
  const RouteStage& planned = route_->stages[stage];
  const Elapsed now = ElapsedNow();
  wire::StageWork work;
  work.set_service(planned.service);
  work.set_request(id_);
  work.set_account(holder_.account);
  work.set_fingerprint(Fingerprint());
  work.set_stage(static_cast<std::uint32_t>(stage));
  work.set_left_ms(absl::ToInt64Milliseconds(AnswerBy() - now));
  work.set_due_ms(absl::ToInt64Milliseconds(Due() - now));
  work.set_after_ms(
    absl::ToInt64Milliseconds(absl::Seconds(SecondsAfter(plan_, stage))));
  work.set_rank(static_cast<std::uint32_t>(std::max(0, route_->rank)));
  work.set_result_bytes(planned.resultBytes);
  PlaceWork(stage, work);
  ChooseStagePool(stage, work);
  for (const std::size_t before : planned.after) {
    for (const std::string& input : stages_[before].handles) {
      work.add_inputs(input);
    }
  }
  NameInputPool(stage, work);
  for (int i = 0; i < stages_[stage].pieces; ++i) {
    wire::StageItem& item = *work.add_items();
    item.set_piece(static_cast<std::uint32_t>(i));
    if (planned.after.empty()) {
      item.set_key(pieceKey_);
    }
  }
  return work;
}

void GatewayRequest::OnStage(std::size_t stage, const wire::StageReply& reply)
{
  if (ended_) {
    return;
  }
  Stage& state = stages_[stage];
  state.work = 0;
  for (const wire::StageItemResult& result : reply.results()) {
    if (result.state() == wire::StageItemResult::DONE) {
      state.handles.push_back(result.handle());
    }
  }
  if (state.handles.size() != static_cast<std::size_t>(state.pieces)) {
    FailStages(reply, stage);
    return;
  }
  if (!AreListable(state.handles)) {
    shared_.metrics.Count("stage_results_unsound");
    SayNotRun("stage_results_unsound");
    return;
  }
  state.makers.assign(reply.makers().begin(), reply.makers().end());
  state.roomScarce = reply.room_scarce();
  state.done = true;
  state.doneAt = ElapsedNow();
  shared_.metrics.NoteLatency("stage", state.doneAt - state.submittedAt);
  ReleaseConsumed();
  SubmitStages();
}

void GatewayRequest::FailStages(const wire::StageReply& reply,
                                std::size_t stage)
{
  const auto count = [&reply](wire::StageItemResult::State state) {
    return std::count_if(
      reply.results().begin(), reply.results().end(),
      [state](const auto& result) { return result.state() == state; });
  };
  if (count(wire::StageItemResult::INPUT_GONE) > 0 && mayRestartStages_) {
    RestartStages();
    return;
  }
  if (count(wire::StageItemResult::REFUSED) > 0) {
    PlaceElsewhere(stage);
    return;
  }
  const bool late = count(wire::StageItemResult::LATE) > 0;
  shared_.metrics.Count(
    absl::StrCat("stage_failed_", route_->stages[stage].service));
  SayNotRun(late ? "stage_late" : "stage_failed");
}

/** Once, where another pool is told to wait less; otherwise the request is
 * refused. Work for a hall that may get none any more is placed anew each
 * time; some of its pieces may have been made there.
 */
void GatewayRequest::PlaceElsewhere(std::size_t stage)
{
  Stage& state = stages_[stage];
  const StagePoolKey other =
    shared_.stages.PlaceWork(route_->stages[stage].service, resultHall_);
  const bool isEvacuated =
    IsEvacuated(shared_.directory.halls, state.pool.hall);
  const bool isSame = other.hall == state.pool.hall;
  const bool mayMove =
    !isSame && (isEvacuated || !std::exchange(placedElsewhere_, true));
  if (!mayMove) {
    SayNotRun(isEvacuated ? "evacuated" : "overload");
    return;
  }
  if (RefuseIfEvacuated()) {
    return;
  }
  ReleaseStage(stage);
  shared_.metrics.Count("stage_works_placed_elsewhere");
  state.submitted = false;
  SubmitStages();
}

/** Whether results lie in a hall that can't be reached, or were held by a
 * start of an endpoint that is over.
 */
bool GatewayRequest::ResultsAreLost() const
{
  for (const Stage& stage : stages_) {
    const bool isOver = std::any_of(stage.makers.begin(), stage.makers.end(),
                                    [this](const std::string& maker) {
                                      return IsOver(shared_.directory, maker);
                                    });
    if (isOver) {
      return true;
    }
    for (const std::string& handle : stage.handles) {
      const DirectoryEndpoint* maker = FindByAddress(
        shared_.directory, shared_.dialect.addressOfResult(handle));
      const bool isCut =
        maker != nullptr && IsCutOff(shared_.directory.reach, maker->hall);
      if (isCut) {
        return true;
      }
    }
  }
  return false;
}

/** Some results are gone: all is made anew, once for each endpoint that is to
 * go on.
 */
void GatewayRequest::RestartStages()
{
  stagesRestarted_ = true;
  mayRestartStages_ = false;
  shared_.metrics.Count("stages_restarted");
  ReleaseAll();
  EndReservations();
  finalReleased_ = false;
  for (Stage& stage : stages_) {
    if (stage.work != 0) {
      shared_.stages.Cancel(stage.work);
    }
    const int pieces = stage.pieces;
    stage = {};
    stage.pieces = pieces;
    stage.done = pieces == 0;
  }
  SubmitStages();
}

void GatewayRequest::ReleaseStage(std::size_t stage)
{
  shared_.stages.Release(stages_[stage].pool,
                         std::exchange(stages_[stage].handles, {}));
  stages_[stage].makers.clear();
}

/** Gives up the results of stages whose successors are all done. */
void GatewayRequest::ReleaseConsumed()
{
  for (std::size_t i = 0; i < stages_.size(); ++i) {
    bool hasSuccessor = false;
    bool allDone = true;
    for (std::size_t next = 0; next < stages_.size(); ++next) {
      const auto& after = route_->stages[next].after;
      const bool follows =
        std::find(after.begin(), after.end(), i) != after.end();
      hasSuccessor |= follows;
      allDone &= !follows || stages_[next].done;
    }
    if (hasSuccessor && allDone) {
      ReleaseStage(i);
    }
  }
}

void GatewayRequest::ReleaseAll()
{
  finalReleased_ = true;
  for (std::size_t i = 0; i < stages_.size(); ++i) {
    ReleaseStage(i);
  }
}

std::string GatewayRequest::FinalHandles() const
{
  std::vector<std::string> handles;
  for (const std::size_t stage : FinalStages(route_->stages)) {
    handles.insert(handles.end(), stages_[stage].handles.begin(),
                   stages_[stage].handles.end());
  }
  return absl::StrJoin(handles, ",");
}

} // namespace wg
