// SPDX-License-Identifier: Apache-2.0
#include "wgStageCoordinator.h"

#include <algorithm>
#include <set>

namespace wg {
namespace {

using ItemResult = wire::StageItemResult;

absl::string_view NameOf(InputVerdict verdict)
{
  switch (verdict) {
    case InputVerdict::CallOverdue:
      return "call_overdue";
    case InputVerdict::BufferFull:
      return "room_short";
    case InputVerdict::RecentLoss:
      return "recent_loss";
    default:
      return "";
  }
}

} // namespace

void StageCoordinator::OnInputsFetched(InputsFetched fetched)
{
  inputsFetched_ = std::move(fetched);
}

/** Only where whoever asked says whose they are, and allows it thereby. */
void StageCoordinator::KeepInputs(const wire::StageWork& work, Work& state)
{
  if (work.input_service().empty() || !inputsFetched_) {
    return;
  }
  state.request = work.request();
  state.inputPool = { work.input_service(), work.input_hall() };
  state.inputs.assign(work.inputs().begin(), work.inputs().end());
}

/** The pieces are in a call from now on. */
void StageCoordinator::NoteInCall(std::uint64_t number)
{
  OpenCall& open = calls_[number];
  bool mayRelease = false;
  for (const StagePiece& piece : open.call.pieces) {
    auto owner = owners_.find(piece.ticket);
    if (owner != owners_.end()) {
      owner->second.call = number;
      mayRelease |= !works_.at(owner->second.work).inputs.empty();
    }
  }
  if (const StageServer* server = ServerOf(open)) {
    open.recordedAtSend = server->roomUsed;
  }
  if (!mayRelease) {
    return;
  }
  open.fetchedTimer = std::make_unique<LoopTimer>(
    loop_, absl::ToChronoMicroseconds(
             absl::Seconds(open.call.expectedSeconds * FetchedAfterFraction)));
  open.fetchedTimer->async_wait(
    [this, number](boost::system::error_code error) {
      auto found = calls_.find(number);
      if (!error && found != calls_.end()) {
        ReleaseInputsOf(WorksOf(found->second));
      }
    });
}

/** Of which it carries pieces, and that have not ended. */
std::vector<StageCoordinator::WorkKey> StageCoordinator::WorksOf(
  const OpenCall& open) const
{
  std::set<WorkKey> works;
  for (const StagePiece& piece : open.call.pieces) {
    auto owner = owners_.find(piece.ticket);
    if (owner != owners_.end()) {
      works.insert(owner->second.work);
    }
  }
  return { works.begin(), works.end() };
}

void StageCoordinator::ReleaseInputsOf(absl::Span<const WorkKey> works)
{
  for (const WorkKey& key : works) {
    auto work = works_.find(key);
    if (work != works_.end()) {
      TryReleaseInputs(work->second);
    }
  }
}

InputVerdict StageCoordinator::JudgeInputsOf(const Work& work)
{
  int waiting = 0;
  std::vector<InputUse> uses;
  const Elapsed now = ElapsedNow();
  for (const std::uint64_t ticket : work.tickets) {
    auto owner = owners_.find(ticket);
    if (owner == owners_.end()) {
      continue; // made: a work ends with its first piece that is not
    }
    auto call = calls_.find(owner->second.call);
    if (call == calls_.end()) {
      ++waiting;
      continue;
    }
    const OpenCall& open = call->second;
    const StageServer* server = ServerOf(open);
    const bool isBufferFull =
      server != nullptr && IsBufferFull(server->roomEvidence, now);
    uses.push_back({ open.started, absl::Seconds(open.call.expectedSeconds),
                     isBufferFull });
  }
  auto loss = inputLosses_.find(work.pool);
  return EvaluateInputs(
    waiting, uses, loss == inputLosses_.end() ? NeverLost : loss->second, now);
}

/** Addresses results that fill endpoints while their only use is over. */
void StageCoordinator::TryReleaseInputs(Work& work)
{
  if (work.inputs.empty() || work.inputsReleased) {
    return;
  }
  const InputVerdict verdict = JudgeInputsOf(work);
  if (verdict == InputVerdict::TooEarly) {
    return;
  }
  if (verdict != InputVerdict::Release) {
    metrics_.Count(absl::StrCat("stage_inputs_kept_", NameOf(verdict)));
    log_.Write(LogWeight::Routine, "stage_inputs_kept",
               { { "request", work.request },
                 { "service", work.pool.service },
                 { "hall", work.pool.hall },
                 { "why", std::string(NameOf(verdict)) } });
    return;
  }
  work.inputsReleased = true;
  metrics_.Count("stage_inputs_released", work.inputs.size());
  log_.Write(LogWeight::Routine, "stage_inputs_released",
             { { "request", work.request },
               { "service", work.pool.service },
               { "hall", work.pool.hall },
               { "input_service", work.inputPool.service },
               { "input_hall", work.inputPool.hall },
               { "inputs", work.inputs.size() } });
  inputsFetched_(work.inputPool, work.inputs);
}

/** Whether a piece cannot be made again as its inputs were released. Its
 * request then makes all stages again.
 */
bool StageCoordinator::EndIfInputsReleased(const StagePiece& piece)
{
  const Work& work = works_.at(owners_.at(piece.ticket).work);
  if (!work.inputsReleased) {
    return false;
  }
  metrics_.Count("stage_works_without_inputs");
  log_.Write(LogWeight::Notable, "stage_work_without_inputs",
             { { "request", piece.request },
               { "service", work.pool.service },
               { "hall", work.pool.hall } });
  ItemResult gone;
  gone.set_state(ItemResult::INPUT_GONE);
  Settle(piece.ticket, std::move(gone));
  return true;
}

/** An endpoint still needed what half of its expected time did not suffice to
 * fetch.
 */
void StageCoordinator::NoteInputGone(const StagePiece& piece)
{
  auto owner = owners_.find(piece.ticket);
  if (owner == owners_.end()) {
    return;
  }
  const Work& work = works_.at(owner->second.work);
  if (!work.inputsReleased) {
    return;
  }
  inputLosses_[work.pool] = ElapsedNow();
  metrics_.Count("stage_inputs_missed");
  log_.Write(LogWeight::Notable, "stage_inputs_missed",
             { { "request", piece.request },
               { "service", work.pool.service },
               { "hall", work.pool.hall } });
}

/** Before the room of pieces without a result is freed. */
void StageCoordinator::NoteRoomAnswer(const OpenCall& open,
                                      absl::Span<const ItemResult> results)
{
  StageServer* server = ServerOf(open);
  if (server == nullptr) {
    return;
  }
  BufferFullAnswer answer;
  answer.recordedAtSend = open.recordedAtSend;
  answer.recordedAtEnd = server->roomUsed;
  int refused = 0;
  for (std::size_t i = 0; i < results.size(); ++i) {
    const std::int64_t bytes = open.call.pieces[i].resultBytes;
    const auto state = results[i].state();
    answer.notExecuted += state == ItemResult::DONE ? 0 : bytes;
    if (state == ItemResult::NO_ROOM) {
      answer.refused += bytes;
      answer.smallestRefused =
        refused == 0 ? bytes : std::min(answer.smallestRefused, bytes);
      ++refused;
    }
  }
  if (refused == 0) {
    return;
  }
  const Elapsed now = ElapsedNow();
  server->roomEvidence = EvidenceOf(answer, now);
  metrics_.Count("stage_calls_short_of_room");
  log_.Write(LogWeight::Notable, "stage_room_short",
             { { "service", open.pool.service },
               { "hall", open.pool.hall },
               { "endpoint", open.call.server },
               { "pieces", results.size() },
               { "refused", refused },
               { "room_recorded", answer.recordedAtEnd },
               { "room_bound", BufferBound(server->roomEvidence, now) } });
}

void StageCoordinator::BoundRoom(StagePool& pool, Elapsed now)
{
  for (StageServer& server : pool.servers) {
    server.roomBound = BufferBound(server.roomEvidence, now);
  }
}

} // namespace wg
