// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

#include "wgElapsed.h"
#include "wgPeer.pb.h"

namespace wg {

/** \brief The end or the draining of one start of an endpoint. */
struct EndpointEnd
{
  wire::Registration registration; // LEAVING or GONE
  Elapsed noted;
  std::uint64_t revision = 0;
  /** The endpoint told this box, which tells the other control boxes. */
  bool isOwn = false;
};

/** \brief A control box that gets copies of ends. */
struct EndHolder
{
  /** It has synced all own ends up to this revision. */
  std::uint64_t held = 0;
  /** False for a box of an older build. */
  bool takesEnds = true;
};

/** \brief The ends that control boxes were told of lately.
 *
 * An end is acknowledged once enough disks hold it: what the endpoint was told
 * must outlast this process and the loss of as many disks as is tolerated.
 */
struct EndpointEnds
{
  std::uint64_t revision = 0;
  std::uint64_t synced = 0;                // revision on the own disk
  std::map<std::string, EndpointEnd> ends; // by identity
  std::map<std::uint64_t, std::string> byRevision;
  std::map<std::string, EndHolder> holders; // by address
};

/** \brief For so long ends are kept: heartbeats may be some seconds late. */
constexpr absl::Duration EndMemory = absl::Minutes(2);

/** \brief The most ends that are kept; the oldest give way. */
constexpr std::size_t MostEnds = 20000;

/** \brief The most ends in one message, some 20 kB. */
constexpr int MaxEndsInMessage = 200;

/** \brief Notes that an endpoint drains or has ended. An end that another box
 * told of is noted anew if the endpoint itself tells it.
 * \return the revision that must be kept before this is acknowledged
 */
std::uint64_t NoteEnd(EndpointEnds& ends,
                      const wire::Registration& registration, bool isOwn,
                      Elapsed now);

/** \brief The own ends that a control box does not hold, the oldest first.
 * \param upTo set to the revision that it holds once it has taken them
 */
wire::EndpointEnds NextEndsFor(const EndpointEnds& ends,
                               const std::string& address, Elapsed now,
                               std::uint64_t& upTo);

/** \brief Whether so many control boxes with a disk, this one included, hold
 * the revision.
 */
bool IsHeldBy(const EndpointEnds& ends, std::uint64_t revision,
              std::size_t boxes);

/** \brief All ends, for a file. */
wire::EndpointEnds DescribeEnds(const EndpointEnds& ends, Elapsed now);

void ExpireEnds(EndpointEnds& ends, Elapsed now);

} // namespace wg
