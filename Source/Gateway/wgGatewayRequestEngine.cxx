// SPDX-License-Identifier: Apache-2.0
#include "wgGatewayRequest.h"

#include <algorithm>
#include <utility>

namespace wg {
namespace {

constexpr double MicrosInSecond = 1e6;

} // namespace

bool GatewayRequest::IsForEngine() const
{
  auto known = table_->services.find(service_);
  return known != table_->services.end() && known->second.engine.has_value();
}

/** Only one box sees what all boxes have sent to engines. */
void GatewayRequest::AskForEngine()
{
  const ChoiceQuery query = MakeChoiceQuery();
  wire::EngineAsk ask;
  ask.set_request(id_);
  ask.set_service(service_);
  ask.set_hall(query.hall);
  ask.set_other_hall_us(
    static_cast<std::int64_t>(query.otherHallSeconds * MicrosInSecond));
  ask.set_tokens_in(prompt_.tokensIn);
  for (const PromptPart& part : prompt_.parts) {
    wire::PromptPartSize& size = *ask.add_parts();
    size.set_id(part.id);
    size.set_tokens(part.tokens);
  }
  for (const std::string& endpoint : tried_) {
    ask.add_avoid(endpoint);
  }
  AddUnsound(ask);
  ask.set_wants_version(WantsVersion());
  ask.set_version(bound_.value_or(""));
  shared_.engines.Ask(
    std::move(ask),
    [weak = weak_from_this(), &engines = shared_.engines](
      const PlacedRead& placed, const wire::EngineAnswer& answer) {
      auto self = weak.lock();
      if (self && !self->ended_) {
        self->OnEngineChosen(placed, answer);
      } else {
        engines.End(placed, {});
      }
    });
}

/** Engines of the pool that this box would not send to. */
void GatewayRequest::AddUnsound(wire::EngineAsk& ask)
{
  const Elapsed now = ElapsedNow();
  Directory& directory = shared_.directory;
  const bool isAnySound =
    IsAnySound(directory, service_, now, Sender::ThisBox, bound_);
  const StagePoolKey pool =
    ChoosePool(directory, service_, ask.hall(), EnginesInHall);
  for (const DirectoryEndpoint* endpoint :
       ServingEndpoints(directory, service_, pool.hall)) {
    const bool maySend = isAnySound ? IsSound(directory, *endpoint, now)
                                    : MaySendNow(directory, *endpoint, now);
    if (!maySend) {
      ask.add_avoid(endpoint->id);
    }
  }
}

/** An engine that the box asked has named, if it is sound as far as is known
 * here, or no engine is.
 */
DirectoryEndpoint* GatewayRequest::FindChosen(const std::string& id)
{
  const Elapsed now = ElapsedNow();
  Directory& directory = shared_.directory;
  DirectoryEndpoint* chosen = FindEndpoint(directory, id);
  if (chosen == nullptr || chosen->service != service_ ||
      !IsWithinBound(bound_, *chosen) ||
      !MaySendNow(directory, *chosen, now)) {
    return nullptr;
  }
  const bool maySend =
    IsSound(directory, *chosen, now) ||
    !IsAnySound(directory, service_, now, Sender::ThisBox, bound_);
  return maySend ? chosen : nullptr;
}

void GatewayRequest::OnEngineChosen(const PlacedRead& placed,
                                    const wire::EngineAnswer& answer)
{
  if (const DirectoryEndpoint* granted =
        FindEndpoint(shared_.directory, answer.endpoint())) {
    shared_.permits.NoteGrant(*granted, answer.grant());
  }
  if (!HasTimeLeft()) {
    shared_.engines.End(placed, {});
    EndForTime();
    return;
  }
  if (DirectoryEndpoint* endpoint = FindChosen(answer.endpoint())) {
    const double prefillSeconds =
      static_cast<double>(answer.read_us()) / MicrosInSecond;
    if (NeedsPermit(shared_.directory, *endpoint, ElapsedNow()) &&
        !answer.counted()) {
      // The box that was asked had not heard of the limit.
      AskToSend(*endpoint, prefillSeconds, placed);
    } else {
      StartAttempt(*endpoint, prefillSeconds, placed);
    }
    return;
  }
  if (answer.limited_ms() > 0) {
    DenyLimited(placed.pool, absl::Milliseconds(answer.limited_ms()));
  }
  shared_.engines.End(placed, {});
  shared_.metrics.Count("engines_chosen_alone");
  SendToOwnChoice();
}

/** The box that counts for the pool may have nothing sent to its endpoints
 * that have a limit.
 */
void GatewayRequest::DenyLimited(const StagePoolKey& pool, absl::Duration wait)
{
  const Elapsed now = ElapsedNow();
  const Elapsed until = now + wait;
  for (DirectoryEndpoint* endpoint :
       ServingEndpoints(shared_.directory, pool.service, pool.hall)) {
    if (IsWithinBound(bound_, *endpoint) &&
        NeedsPermit(shared_.directory, *endpoint, now)) {
      endpoint->deniedUntil = until;
    }
  }
}

void GatewayRequest::EndRead(Attempt& attempt, const EngineReadResult& result)
{
  shared_.engines.End(std::exchange(attempt.placed, {}), result);
  if (DirectoryEndpoint* endpoint =
        FindEndpoint(shared_.directory, attempt.endpoint)) {
    endpoint->pendingSeconds =
      std::max(0.0, endpoint->pendingSeconds - attempt.prefillSeconds);
  }
  attempt.prefillSeconds = 0.0;
}

} // namespace wg
