// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace wg::test {

/** \brief What one caller saw of a request. */
struct SoakRequest
{
  std::string id;
  std::string expected; // the whole body of a success
  int status = 0;       // 0: no whole answer came
  std::string body;
  std::string sealedBy; // the endpoint that signed a success
  int box = 0;          // that it was sent to
  absl::Time sent;
  bool isStream = false;  // which needs engines and stages
  bool hasAnswer = false; // a whole one, whatever its status
};

/** \brief What one reader of the document saw. */
struct SoakRead
{
  std::int64_t acknowledgedBefore = 0; // the highest, well before the read
  std::int64_t number = 0;
};

/** \brief What an endpoint asked in its answers, and what reached it. */
struct SoakAsk
{
  enum class Kind
  {
    Limit,
    Rest, // of a service whose endpoints all refuse with a time
    Leaving
  };
  Kind kind = Kind::Limit;
  std::string endpoint;
  absl::Time from;
  absl::Time until;
  double perSecond = 0.0; // of a limit
  int boxes = 0;          // that ran meanwhile, each start counted
  int callers = 0;        // what one box may have under way
  std::vector<absl::Time> arrivals;
};

/** \brief Boxes that reached no endpoint, while others reached all. */
struct SoakCut
{
  std::set<int> boxes;
  absl::Time from;
  absl::Time until;
  std::string service; // whose endpoints alone were out of reach; empty: all
};

/** \brief A time in which the endpoints of a service said that they are
 * brittle.
 */
struct SoakBrittle
{
  std::string service;
  int endpoints = 0;
  int falls = 0; // over what they refused
};

/** \brief One try of a caller at a stream. */
struct SoakStreamTry
{
  int box = 0; // that it was sent to
  absl::Time sent;
  int status = 0;       // 0: there was no answer
  bool takesUp = false; // with the events of earlier tries
  int events = 0;       // that it brought
  bool isWhole = false; // the answer ended as complete
};

/** \brief A stream as its caller has it, over its tries. */
struct SoakStream
{
  std::string id; // of the first try
  int length = 0; // in events
  std::vector<SoakStreamTry> tries;
  std::vector<int> events; // ids, in the order in which they came
  std::set<std::string> versions;
};

/** \brief A time in which a box, or all, were disturbed from outside. */
struct SoakDisturbance
{
  static constexpr int AllBoxes = -1;
  int box = AllBoxes;
  absl::Time from;
  absl::Time until;
};

/** \brief All that was seen of streams while endpoints of two versions serve,
 * two of each at the least.
 */
struct SoakStreams
{
  std::vector<SoakStream> streams;
  std::vector<SoakDisturbance> disturbances;
};

/** \brief Whether the box was in touch: it and the control boxes were not
 * disturbed for as long as the users allow.
 */
bool IsInTouch(const SoakStreams& record, int box, absl::Time at);

/** \brief A sentence for each promise on streams that was broken. */
std::vector<std::string> CheckStreams(const SoakStreams& record);

/** \brief All that was seen from outside. */
struct SoakRecord
{
  std::vector<SoakRequest> requests;
  std::map<std::string, int> runs; // by request, over all endpoints
  int unsoundPieces = 0;
  std::vector<SoakRead> reads;
  std::int64_t acknowledged = 0; // the highest document
  std::int64_t readAtEnd = 0;
  std::vector<SoakAsk> asks;
  std::vector<SoakCut> cuts;
  std::vector<SoakBrittle> brittle;
  int unservedAtEnd = 0; // gateways that serve nothing once all is whole
};

/** \brief A sentence for each promise that was broken. */
std::vector<std::string> CheckSoak(const SoakRecord& record);

} // namespace wg::test
