// SPDX-License-Identifier: Apache-2.0
// Streams that callers take up where they were cut, and servers of two
// versions of one service.
#pragma once

#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "wgReviewPipeline.h"

namespace wg::review {

/** \brief One request of a caller. */
struct Try
{
  long sentMs = 0;
  bool takesUp = false; // a stream that has begun
  bool hasEvents = false;
};

/** \brief What one caller has of its stream, over its tries. */
struct Stream
{
  std::set<std::string> versions;
  int last = 0;
  bool isWhole = false;
  std::vector<Try> tries;
};

using Engines = std::vector<std::unique_ptr<Server>>;

/** \brief In three zones in turn; they are not begun.
 * \param place of the first one's address
 */
Engines MakeEngines(Site& site, const std::string& version, int count,
                    int place, Ledger& ledger, Record& record);

/** \brief One route, whose streams may be resumed. */
std::string StreamDocument();

/** \brief Callers with a stream each. */
class StreamCallers
{
public:
  StreamCallers(Site& site, std::size_t count, Record& record);
  ~StreamCallers();
  StreamCallers(const StreamCallers&) = delete;
  StreamCallers& operator=(const StreamCallers&) = delete;

  void Begin();
  /** \brief Waits for all, and tells what became of them.
   * \return the exit code of the case
   */
  int End();
  /** \brief Waits for all. */
  void Await();
  const std::vector<Stream>& Streams() const { return streams_; }

private:
  Site& site_;
  Record& record_;
  std::vector<Stream> streams_;
  std::vector<std::thread> threads_;
};

/** \brief All processes are killed at the same moment, and come back within a
 * second with their disks.
 */
void KillAll(Site& site, Record& record);
/** \brief The same, of all gateways alone. */
void KillGateways(Site& site, Record& record);

} // namespace wg::review
