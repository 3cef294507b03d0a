// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>

#include "absl/strings/string_view.h"

namespace wg {

/** \brief Splits a stream of server-sent events at their ends, so that only
 * whole events are passed on.
 */
struct EventSplitter
{
  std::string partial; // what has come of the next event
  std::string lastId;  // of the last whole event that had one
  /** An event had an id that no request can name. */
  bool hasUnusableId = false;
  std::size_t events = 0;
};

/** \brief Takes bytes in and returns the whole events among them. */
std::string TakeEvents(EventSplitter& reader, absl::string_view bytes);

} // namespace wg
