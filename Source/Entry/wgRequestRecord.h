// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "wgElapsed.h"
#include "wgReason.h"

namespace wg {

/** \brief An endpoint that was compared for a stage, by name. */
struct ComparedEndpoint
{
  std::string endpoint;
  double finishSeconds = 0.0;
};

/** \brief One try of one stage: what was decided and what came of it. */
struct AttemptRecord
{
  int stage = 0;
  int attempt = 0;
  std::string group;
  std::string endpoint;
  double waitSeconds = 0.0;
  double runSeconds = 0.0;
  std::string end;
  std::vector<ComparedEndpoint> compared;
};

/** \brief What is remembered of a request. */
struct RequestRecord
{
  std::string request;
  std::string account;
  std::string pipeline;
  Elapsed arrived;
  Elapsed ended;
  bool running = true;
  Reason reason = Reason::None;
  double expectedSeconds = 0.0; // at admission
  std::vector<AttemptRecord> attempts;
};

/** \brief Requests that run, and the last ones that ended. Bounded. */
struct RequestRecords
{
  std::map<std::string, RequestRecord> running;
  std::deque<RequestRecord> ended;
  std::size_t maxEnded = 2000;
};

/** \brief Moves a request to those that ended, the oldest of which goes. */
inline void EndRecord(RequestRecords& records, const std::string& request,
                      Reason reason, Elapsed now)
{
  auto node = records.running.extract(request);
  if (node.empty()) {
    return;
  }
  RequestRecord& record = node.mapped();
  record.running = false;
  record.reason = reason;
  record.ended = now;
  records.ended.push_back(std::move(record));
  if (records.ended.size() > records.maxEnded) {
    records.ended.pop_front();
  }
}

} // namespace wg
