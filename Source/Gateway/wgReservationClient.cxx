// SPDX-License-Identifier: Apache-2.0
#include "wgReservationClient.h"

#include <utility>

#include <boost/asio/post.hpp>

namespace wg {
namespace {

/** Refusals are to reach callers within 100 ms; an answer takes a few
 * milliseconds.
 */
constexpr absl::Duration AskTimeout = absl::Milliseconds(80);
constexpr absl::Duration EndTimeout = absl::Milliseconds(300);

} // namespace

struct ReservationClient::Open
{
  std::vector<std::optional<wire::StageReserveAnswer>> answers;
  std::size_t missing = 0;
  Answered answered;
};

ReservationClient::ReservationClient(EventLoop& loop, PeerClient& peers,
                                     StageClient& stages,
                                     StageCoordinator& own, std::string box,
                                     GatewayMetrics& metrics)
  : loop_(loop)
  , peers_(peers)
  , stages_(stages)
  , own_(own)
  , box_(std::move(box))
  , metrics_(metrics)
  , next_(static_cast<std::uint64_t>(absl::ToInt64Microseconds(ElapsedNow())))
{
}

std::vector<AskedReservation> ReservationClient::Ask(
  std::vector<wire::StageReserve> asks, Answered answered)
{
  auto open = std::make_shared<Open>();
  open->answers.resize(asks.size());
  open->missing = asks.size();
  open->answered = std::move(answered);
  std::vector<AskedReservation> asked;
  for (std::size_t i = 0; i < asks.size(); ++i) {
    wire::StageReserve& ask = asks[i];
    ask.set_box(box_);
    ask.set_number(next_++);
    asked.push_back({ { ask.service(), ask.pool_hall() }, ask.number() });
    AskOne(ask, i, open);
  }
  return asked;
}

void ReservationClient::AskOne(const wire::StageReserve& ask,
                               std::size_t index,
                               const std::shared_ptr<Open>& open)
{
  const StagePoolKey pool{ ask.service(), ask.pool_hall() };
  const GatewayMember* member = stages_.CoordinatorOf(pool);
  if (member == nullptr) {
    // Not at once, as if another box were asked.
    boost::asio::post(loop_, [this, ask, pool, index, open] {
      Take(pool, index, open, own_.Reserve(ask));
    });
    return;
  }
  peers_.Call(
    member->address, "/stage-reserve", ask.SerializeAsString(), AskTimeout,
    [this, ask, box = member->box, pool, index,
     open](const Outcome<std::string>& reply) {
      std::optional<wire::StageReserveAnswer> answer;
      wire::StageReserveAnswer parsed;
      // A box that stops, or of an older version, answers with nothing.
      const bool isAnswer = Succeeded(reply) && !Value(reply).empty();
      if (isAnswer && parsed.ParseFromString(Value(reply))) {
        answer = parsed;
      }
      boost::asio::post(loop_, [this, ask, box, pool, index, open, answer] {
        if (answer && answer->no_path()) {
          stages_.NoteNoPath(box);
          AskOne(ask, index, open);
          return;
        }
        // Not taken as a sign that the box is gone: while it is overloaded,
        // others would begin to make the pool's calls beside it.
        if (!answer) {
          metrics_.Count("stage_reservations_unanswered");
        }
        Take(pool, index, open, answer);
      });
    });
}

void ReservationClient::Take(const StagePoolKey& pool, std::size_t index,
                             const std::shared_ptr<Open>& open,
                             std::optional<wire::StageReserveAnswer> answer)
{
  if (answer) {
    stages_.NoteWaiting(pool, absl::Milliseconds(answer->clear_ms()));
  }
  open->answers[index] = std::move(answer);
  if (--open->missing == 0) {
    open->answered(open->answers);
  }
}

void ReservationClient::End(const AskedReservation& reservation)
{
  if (reservation.number == 0) {
    return;
  }
  wire::StageReserveEnd end;
  end.set_box(box_);
  end.set_service(reservation.pool.service);
  end.set_pool_hall(reservation.pool.hall);
  end.add_numbers(reservation.number);
  const GatewayMember* member = stages_.CoordinatorOf(reservation.pool);
  if (member == nullptr) {
    own_.EndReservations(end);
    return;
  }
  peers_.Call(member->address, "/stage-reserve-end", end.SerializeAsString(),
              EndTimeout, [](const Outcome<std::string>&) {});
}

} // namespace wg
