// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>

#include "absl/strings/string_view.h"

#include "wgElapsed.h"
#include "wgPeer.pb.h"
#include "wgStreamOrigin.h"

namespace wg {

/** \brief The reply of a process that has kept the origins it was sent. */
constexpr absl::string_view OriginsKeptReply = "kept";

/** \brief A record as it is told to another process. */
wire::StreamOrigin DescribeOrigin(const std::string& request,
                                  const OriginRecord& record, Elapsed now);

namespace detail {

/** \brief Keeps the copies that another process has sent, or kept. */
void KeepCopies(OriginRecords& records, const wire::StreamOrigins& copies,
                Elapsed now);

/** \brief Reads a process's answer; hasAnswered is false for damaged bytes. */
OriginAnswer ReadOriginAnswer(const std::string& bytes);

} // namespace detail
} // namespace wg
