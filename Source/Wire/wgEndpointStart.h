// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <string>

#include "wgPeer.pb.h"

namespace wg {

/** \brief One start of an endpoint.
 *
 * An endpoint may start again under the name that it had. It then knows
 * nothing of before and counts its heartbeats anew. Whatever is known of it
 * (places, results, failures, what it holds) is therefore kept by its start.
 */
struct EndpointStart
{
  std::string name;
  std::int64_t bornMs = 0; // Unix time in ms, by its clock; 0: not told
};

/** \brief The most registrations that a control box tells at once; after fewer
 * there are no more to tell. Some 10 kB, 8 ms of a link of 10 Mbit/s: a box
 * that starts asks all control boxes for all endpoints, and what ends in time
 * need not be sent again.
 */
constexpr int MaxRegistrationsInReply = 100;

/** \brief The identity that all tables and messages know a start by: its name
 * alone where endpoints do not tell when they started.
 */
std::string IdentityOf(const EndpointStart& start);

/** \brief The start that a registration tells of. */
EndpointStart StartOf(const wire::Registration& registration);

} // namespace wg
