// SPDX-License-Identifier: Apache-2.0
#include "wgRelayClient.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/asio/post.hpp>

#include "absl/random/distributions.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include "wgPeerAuth.h"
#include "wgRelayFields.h"

namespace wg {
namespace {

namespace http = boost::beast::http;

constexpr auto AskPeriod = std::chrono::milliseconds(500);
constexpr absl::Duration AskTimeout = absl::Milliseconds(300);
/** With more boxes, these are drawn anew each time. */
constexpr std::size_t MostAsked = 16;
/** About single endpoints: with half of all boxes cut off from one, none of
 * these reaches it one time in 64.
 */
constexpr std::size_t MostAskedAboutEndpoints = 6;
/** Each box that is asked connects to all of them. */
constexpr std::size_t MostEndpointsAsked = 16;
/** After a box did not answer, or its connection was cut. */
constexpr absl::Duration FailedPause = absl::Seconds(1);
/** After it said that it takes no more. */
constexpr absl::Duration FullPause = absl::Milliseconds(100);

std::string Text(absl::string_view text)
{
  return std::string(text);
}

HttpCallEnd EndOf(absl::string_view result)
{
  if (result == relay::Cut) {
    return HttpCallEnd::Cut;
  }
  return result == relay::Unreached ? HttpCallEnd::Unreached
                                    : HttpCallEnd::NotConnected;
}

} // namespace

/** What is known of a relayed call while it goes on. */
struct RelayClient::Relayed
{
  HttpCallHandler handler;
  bool isAnswered = false;
  bool endsByClose = false;
  std::string result;
};

RelayClient::RelayClient(EventLoop& loop, HttpClient& client,
                         Directory& directory, PeerClient& peers,
                         StageClient& members, std::string box,
                         std::string hall, std::string key,
                         GatewayMetrics& metrics)
  : loop_(loop)
  , client_(client)
  , directory_(directory)
  , peers_(peers)
  , members_(members)
  , box_(std::move(box))
  , hall_(std::move(hall))
  , key_(std::move(key))
  , metrics_(metrics)
  , onPathLost_([](const std::string&) {})
  , timer_(loop)
{
}

void RelayClient::SetHasPath(bool hasPath, bool connectionsHang)
{
  hasPath_ = hasPath;
  connectionsHang_ = connectionsHang;
  if (!hasPath) {
    AskForOffers();
  }
}

void RelayClient::AskAbout(const std::string& endpoint, OnAsked done)
{
  if (!hasPath_) {
    if (done) {
      done(false);
    }
    return;
  }
  auto [waiting, isNew] = awaitAsked_.try_emplace(endpoint);
  if (done) {
    waiting->second.push_back(std::move(done));
  }
  if (isNew) {
    Ask({ endpoint });
  }
}

/** Without a path, those of this hall first, then of others. */
std::vector<const GatewayMember*> RelayClient::ChooseAsked()
{
  std::vector<const GatewayMember*> asked;
  for (const GatewayMember& member : members_.Others()) {
    if (!member.suspect) {
      asked.push_back(&member);
    }
  }
  std::shuffle(asked.begin(), asked.end(), random_);
  if (!hasPath_) {
    std::stable_partition(
      asked.begin(), asked.end(),
      [this](const GatewayMember* member) { return member->hall == hall_; });
  }
  const std::size_t most = hasPath_ ? MostAskedAboutEndpoints : MostAsked;
  asked.resize(std::min(asked.size(), most));
  return asked;
}

std::vector<std::string> RelayClient::AddressesOf(
  absl::Span<const std::string> endpoints) const
{
  std::vector<std::string> addresses;
  for (const std::string& endpoint : endpoints) {
    const DirectoryEndpoint* known = FindEndpoint(directory_, endpoint);
    if (known != nullptr) {
      addresses.push_back(known->address);
    }
  }
  return addresses;
}

void RelayClient::Ask(absl::Span<const std::string> endpoints)
{
  const auto asked = ChooseAsked();
  const std::vector<std::string> addresses = AddressesOf(endpoints);
  wire::RelayAsk ask;
  *ask.mutable_endpoints() = { addresses.begin(), addresses.end() };
  const std::string body = ask.SerializeAsString();
  const std::vector<std::string> about(endpoints.begin(), endpoints.end());
  const auto open = std::make_shared<std::size_t>(asked.size());
  for (const GatewayMember* member : asked) {
    peers_.Call(member->address, "/relay-offer", body, AskTimeout,
                [this, box = member->box, isNear = member->hall == hall_,
                 about, addresses, open](Outcome<std::string> reply) {
                  boost::asio::post(loop_,
                                    [this, box, isNear, about, addresses, open,
                                     reply = std::move(reply)] {
                                      TakeOffer(box, isNear, addresses, reply);
                                      if (--*open == 0) {
                                        SettleAsked(about);
                                      }
                                    });
                });
  }
  if (asked.empty()) {
    boost::asio::post(loop_, [this, about] { SettleAsked(about); });
  }
  Arm();
}

void RelayClient::Arm()
{
  if (std::exchange(armed_, true)) {
    return;
  }
  timer_.expires_after(AskPeriod);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      armed_ = false;
      AskForOffers();
    }
  });
}

/** While any endpoint is not reached: what boxes can take changes. */
void RelayClient::AskForOffers()
{
  std::vector<std::string> lost = LostEndpoints(directory_.reach);
  if (hasPath_ && lost.empty()) {
    return;
  }
  std::shuffle(lost.begin(), lost.end(), random_);
  lost.resize(std::min(lost.size(), hasPath_ ? MostEndpointsAsked : 0));
  Ask(lost);
}

/** What was not reached by any of those asked is not known to be lost. */
void RelayClient::SettleAsked(absl::Span<const std::string> endpoints)
{
  for (const std::string& endpoint : endpoints) {
    const DirectoryEndpoint* known = FindEndpoint(directory_, endpoint);
    const bool isReached =
      known != nullptr &&
      IsReachedByAny(offers_, known->address, ElapsedNow());
    if (!isReached) {
      NoteReachedNowhere(directory_.reach, endpoint);
    }
    auto waiting = awaitAsked_.extract(endpoint);
    if (!waiting.empty()) {
      for (const OnAsked& done : waiting.mapped()) {
        done(isReached);
      }
    }
  }
}

RelayOffer* RelayClient::Find(const std::string& box)
{
  const auto found =
    std::find_if(offers_.begin(), offers_.end(),
                 [&box](const RelayOffer& offer) { return offer.box == box; });
  return found == offers_.end() ? nullptr : &*found;
}

void RelayClient::TakeOffer(const std::string& box, bool isNear,
                            absl::Span<const std::string> asked,
                            const Outcome<std::string>& reply)
{
  wire::RelayOffer told;
  const bool isOffer = Succeeded(reply) &&
                       told.ParseFromString(Value(reply)) && told.has_path() &&
                       !told.address().empty();
  RelayOffer* offer = Find(box);
  if (offer == nullptr) {
    if (!isOffer) {
      return;
    }
    offer = &offers_.emplace_back();
    offer->box = box;
  }
  offer->address = told.address();
  offer->isNear = isNear;
  offer->open = static_cast<int>(told.open());
  offer->most = isOffer ? static_cast<int>(told.most()) : 0;
  offer->openHere = 0;
  offer->told = ElapsedNow();
  NoteReached(
    *offer, asked,
    std::vector<std::string>(told.reached().begin(), told.reached().end()),
    offer->told);
  TakeReached(*offer);
}

void RelayClient::TakeReached(const RelayOffer& offer)
{
  for (const auto& [address, told] : offer.reached) {
    const DirectoryEndpoint* endpoint = FindByAddress(directory_, address);
    if (endpoint != nullptr &&
        NoteReachedElsewhere(directory_.reach, endpoint->id)) {
      onPathLost_(endpoint->id);
    }
  }
}

/** The box said that it reaches the endpoint, and could not connect to it. */
void RelayClient::NoteUnreached(const std::string& box,
                                const std::string& endpoint)
{
  const DirectoryEndpoint* known = FindEndpoint(directory_, endpoint);
  RelayOffer* offer = Find(box);
  if (known == nullptr || offer == nullptr) {
    return;
  }
  offer->reached.erase(known->address);
  if (!IsReachedByAny(offers_, known->address, ElapsedNow())) {
    NoteReachedNowhere(directory_.reach, endpoint);
  }
}

bool RelayClient::HasWay() const
{
  const Elapsed now = ElapsedNow();
  return hasPath_ || std::any_of(offers_.begin(), offers_.end(),
                                 [now](const RelayOffer& offer) {
                                   return IsUsable(offer, now);
                                 });
}

EndpointCallStarted RelayClient::Start(const DirectoryEndpoint& endpoint,
                                       std::string request,
                                       const HttpCallOptions& options,
                                       HttpCallHandler handler)
{
  const std::string& address = RouteTo(directory_.routes, endpoint.address);
  const bool isLost = IsPathLost(directory_.reach, endpoint.id);
  const bool hang = hasPath_ ? ConnectionsHang(directory_.reach, endpoint.id)
                             : connectionsHang_;
  const bool isDirect =
    (hasPath_ && !isLost) ||
    (!hang && client_.HasResting(address, options.maxRest));
  const auto relay =
    isDirect
      ? std::nullopt
      : ChooseRelay(offers_, hasPath_ ? endpoint.address : "", ElapsedNow());
  if (relay) {
    return StartRelayed(offers_[*relay], endpoint, std::move(request), options,
                        std::move(handler));
  }
  if (!isDirect) {
    metrics_.Count("relays_missing");
  }
  if (isDirect || hasPath_) {
    return {
      client_.Start(address, std::move(request), options, std::move(handler)), ""
    };
  }
  boost::asio::post(loop_, [ended = std::move(handler.onEnd)] {
    ended(HttpCallEnd::NotConnected);
  });
  return { std::make_unique<HttpCall>(), "" };
}

std::string RelayClient::MakeCall(const DirectoryEndpoint& endpoint,
                                  std::string request,
                                  const HttpCallOptions& options) const
{
  const std::string nonce = MakeNonce();
  HttpRequest call;
  call.version(11);
  call.method(http::verb::post);
  call.target(Text(relay::Target));
  call.set(http::field::host, "weirgate");
  call.set(Text(relay::To), endpoint.address);
  call.set(Text(relay::From), box_);
  call.set(Text(relay::Nonce), nonce);
  call.set(Text(relay::Signature),
           SignRequest(key_, PeerName, endpoint.address, nonce, request));
  call.set(Text(relay::MaxRestMs),
           absl::StrCat(absl::ToInt64Milliseconds(options.maxRest)));
  if (!options.answerHasBody) {
    call.set(Text(relay::Bodiless), "1");
  }
  call.body() = std::move(request);
  return PrintRequest(std::move(call));
}

EndpointCallStarted RelayClient::StartRelayed(
  RelayOffer& offer, const DirectoryEndpoint& endpoint, std::string request,
  const HttpCallOptions& options, HttpCallHandler handler)
{
  metrics_.Count("relayed_calls");
  ++offer.openHere;
  auto state = std::make_shared<Relayed>();
  state->handler = std::move(handler);
  HttpCallHandler outer;
  outer.onHead = [this, state](const HttpHead& head, BodyFraming) {
    state->result = Text(FieldOf(head, relay::Result));
    state->isAnswered = state->result == relay::Answered;
    if (!state->isAnswered) {
      return true;
    }
    state->endsByClose = FieldOf(head, relay::Framing) == relay::ByClose;
    HttpHead shown = head;
    unsigned status = 0;
    if (!absl::SimpleAtoi(FieldOf(head, relay::Status), &status) ||
        !IsFinalStatus(status)) {
      metrics_.Count("relays_unsound");
      return false;
    }
    shown.result(status);
    for (const absl::string_view field :
         { relay::Result, relay::Status, relay::Framing }) {
      shown.erase(Text(field));
    }
    shown.erase(http::field::transfer_encoding);
    shown.erase(http::field::connection);
    return state->handler.onHead(shown, state->endsByClose
                                          ? BodyFraming::ByClose
                                          : BodyFraming::Explicit);
  };
  outer.onBody = [state](absl::string_view bytes) {
    if (state->isAnswered) {
      state->handler.onBody(bytes);
    }
  };
  outer.onEnd = [this, state, box = offer.box,
                 called = endpoint.id](HttpCallEnd end) {
    NoteOver(box);
    const bool isWhole = end == HttpCallEnd::Complete;
    if (!state->isAnswered && isWhole && !state->result.empty()) {
      NoteEnd(box, state->result);
      if (state->result == relay::NotConnected ||
          state->result == relay::Unreached) {
        NoteUnreached(box, called);
      }
      state->handler.onEnd(EndOf(state->result));
      return;
    }
    if (isWhole && state->isAnswered) {
      state->handler.onEnd(state->endsByClose ? HttpCallEnd::EndedByClose
                                              : HttpCallEnd::Complete);
      return;
    }
    // Between the boxes only what is framed is whole.
    const bool neverSent =
      end == HttpCallEnd::NotConnected || end == HttpCallEnd::Unreached;
    if (end != HttpCallEnd::Refused) {
      NoteEnd(box, "");
    }
    state->handler.onEnd(neverSent ? HttpCallEnd::NotConnected
                         : end == HttpCallEnd::Refused ? end
                                                       : HttpCallEnd::Cut);
  };
  EndpointCallStarted started;
  started.relay = offer.box;
  started.http = client_.Start(offer.address,
                               MakeCall(endpoint, std::move(request), options),
                               options, std::move(outer));
  return started;
}

/** It may have been counted by the box meanwhile. */
void RelayClient::NoteOver(const std::string& box)
{
  if (RelayOffer* offer = Find(box)) {
    int& count = offer->openHere > 0 ? offer->openHere : offer->open;
    count = std::max(count - 1, 0);
  }
}

/** \param result empty: the box did not answer, or not to the end */
void RelayClient::NoteEnd(const std::string& box, absl::string_view result)
{
  RelayOffer* offer = Find(box);
  if (offer == nullptr) {
    return;
  }
  const Elapsed now = ElapsedNow();
  if (result.empty() || result == relay::NoPath) {
    metrics_.Count("relays_failed");
    offer->avoidUntil = now + FailedPause;
  } else if (result == relay::Full) {
    metrics_.Count("relays_full");
    offer->avoidUntil = now + FullPause;
  }
}

} // namespace wg
