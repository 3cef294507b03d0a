// SPDX-License-Identifier: Apache-2.0
#include "wgEngineClient.h"

#include <utility>

#include <boost/asio/post.hpp>

namespace wg {
namespace {

/** The choice without it is nearly as good as a late one. */
constexpr absl::Duration AskTimeout = absl::Milliseconds(80);
constexpr absl::Duration EndTimeout = absl::Milliseconds(300);
constexpr absl::Duration GatherTimeout = absl::Milliseconds(500);
constexpr std::size_t MostSent = 2000;
constexpr double MicrosInSecond = 1e6;

} // namespace

EngineClient::EngineClient(EventLoop& loop, PeerClient& peers,
                           StageClient& members, EngineCoordinator& own,
                           const Directory& directory, std::string box,
                           GatewayMetrics& metrics)
  : loop_(loop)
  , peers_(peers)
  , members_(members)
  , own_(own)
  , directory_(directory)
  , box_(std::move(box))
  , metrics_(metrics)
  , nextRead_(
      static_cast<std::uint64_t>(absl::ToInt64Microseconds(ElapsedNow())))
{
  own_.OnBegin([this](const StagePoolKey& pool) { Gather(pool); });
}

/** What a pool's engines hold is known by the boxes that sent it: those of its
 * hall, where it has one.
 */
void EngineClient::Gather(const StagePoolKey& pool)
{
  metrics_.Count("engine_coordinations_begun");
  own_.Learn(pool, Recent(pool));
  wire::EnginePool asked;
  asked.set_service(pool.service);
  asked.set_hall(pool.hall);
  const std::string body = asked.SerializeAsString();
  for (const GatewayMember& member : members_.Others()) {
    const bool isElsewhere = !pool.hall.empty() && member.hall != pool.hall;
    if (member.suspect || isElsewhere) {
      continue;
    }
    peers_.Call(
      member.address, "/engine-recent", body, GatherTimeout,
      [this, pool](Outcome<std::string> reply) {
        boost::asio::post(loop_, [this, pool, reply = std::move(reply)] {
          wire::EnginePrompts prompts;
          if (Succeeded(reply) && prompts.ParseFromString(Value(reply))) {
            own_.Learn(pool, prompts);
          }
        });
      });
  }
}

void EngineClient::NoteSent(const std::string& endpoint,
                            const PromptShape& prompt)
{
  const Elapsed now = ElapsedNow();
  sent_.push_back({ endpoint, HashPaths(prompt), now });
  while (sent_.size() > MostSent || now - sent_.front().when > PartsHeldFor) {
    sent_.pop_front();
  }
}

wire::EnginePrompts EngineClient::Recent(const StagePoolKey& pool) const
{
  const Elapsed now = ElapsedNow();
  wire::EnginePrompts prompts;
  for (const SentPrompt& sent : sent_) {
    wire::EnginePrompt& prompt = *prompts.add_prompts();
    prompt.set_endpoint(sent.endpoint);
    prompt.set_age_ms(absl::ToInt64Milliseconds(now - sent.when));
    for (const std::uint64_t path : sent.paths) {
      prompt.add_paths(path);
    }
  }
  own_.AddKnown(pool, prompts);
  return prompts;
}

void EngineClient::Ask(wire::EngineAsk ask, Chosen chosen)
{
  PlacedRead read;
  read.pool = ChoosePool(directory_, ask.service(), ask.hall(), EnginesInHall);
  read.read = nextRead_++;
  ask.set_box(box_);
  ask.set_read(read.read);
  ask.set_pool_hall(read.pool.hall);
  AskCoordinator(ask, read, std::move(chosen));
}

void EngineClient::AskCoordinator(const wire::EngineAsk& ask,
                                  const PlacedRead& read, Chosen chosen)
{
  if (const GatewayMember* member = members_.CoordinatorOf(read.pool)) {
    AskPeer(*member, ask, read, std::move(chosen));
    return;
  }
  // Not at once, as if another box were asked.
  boost::asio::post(loop_, [this, ask, read, chosen = std::move(chosen)] {
    chosen(read, own_.Place(ask));
  });
}

void EngineClient::AskPeer(const GatewayMember& member,
                           const wire::EngineAsk& ask, const PlacedRead& read,
                           Chosen chosen)
{
  peers_.Call(member.address, "/engine", ask.SerializeAsString(), AskTimeout,
              [this, box = member.box, ask, read,
               chosen = std::move(chosen)](Outcome<std::string> reply) {
                boost::asio::post(loop_, [this, box, ask, read, chosen,
                                          reply = std::move(reply)] {
                  wire::EngineAnswer answer;
                  if (!Succeeded(reply) ||
                      !answer.ParseFromString(Value(reply))) {
                    metrics_.Count("engine_coordinators_silent");
                    members_.Doubt(box);
                  }
                  if (answer.no_path()) {
                    members_.NoteNoPath(box);
                    AskCoordinator(ask, read, chosen);
                    return;
                  }
                  chosen(read, answer);
                });
              });
}

void EngineClient::End(const PlacedRead& read, const EngineReadResult& result)
{
  if (read.read == 0) {
    return;
  }
  wire::EngineReadEnd end;
  end.set_box(box_);
  end.set_read(read.read);
  end.set_service(read.pool.service);
  end.set_pool_hall(read.pool.hall);
  end.set_took_us(
    static_cast<std::int64_t>(result.tookSeconds * MicrosInSecond));
  end.set_failed(result.failed);
  const GatewayMember* member = members_.CoordinatorOf(read.pool);
  if (member == nullptr) {
    own_.End(end);
    return;
  }
  peers_.Call(member->address, "/engine-end", end.SerializeAsString(),
              EndTimeout, [](const Outcome<std::string>&) {});
}

} // namespace wg
