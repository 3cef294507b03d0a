// SPDX-License-Identifier: Apache-2.0
#include "wgControlMetrics.h"

#include <memory>

#include "absl/strings/str_cat.h"

#include "wgSocket.h"

namespace wg {
namespace {

namespace http = boost::beast::http;

constexpr const char* MetricsPath = "/metrics";

} // namespace

ControlMetrics::ControlMetrics(ControlNode& node, const Counters& counters)
  : node_(node)
  , counters_(counters)
  , server_(node.Loop(),
            [this](const std::shared_ptr<HttpExchange>& exchange) {
              OnRequest(exchange);
            })
{
}

Outcome<Done> ControlMetrics::Start(const std::string& address)
{
  const Outcome<SocketAddress> parsed = ParseSocketAddress(address);
  if (!Succeeded(parsed)) {
    return Error{ Message(parsed) };
  }
  return server_.Start(Value(parsed).host, Value(parsed).port);
}

void ControlMetrics::OnRequest(
  const std::shared_ptr<HttpExchange>& exchange) const
{
  if (exchange->Request().target() != MetricsPath) {
    exchange->Respond(
      MakeResponse(static_cast<unsigned>(http::status::not_found), "", ""));
    return;
  }
  const ControlGauges gauges = node_.Gauges();
  exchange->Respond(MakeResponse(
    static_cast<unsigned>(http::status::ok), "text/plain",
    absl::StrCat(
      counters_.Print(), "weirgate_endpoints_known ", gauges.endpoints,
      "\nweirgate_followers ", gauges.followers, "\nweirgate_document_number ",
      gauges.documentNumber, "\nweirgate_leads ", gauges.leads ? 1 : 0,
      "\nweirgate_hall_orders ", gauges.hallOrders,
      "\nweirgate_halls_evacuated ", gauges.hallsEvacuated,
      "\nweirgate_box_shares_unsound ", gauges.unsoundShares,
      "\nweirgate_controls_exchanged ", gauges.controlsExchanged,
      "\nweirgate_endpoint_ends_waiting ", gauges.endsWaiting, "\n")));
}

} // namespace wg
