// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <deque>

#include "absl/types/span.h"

#include "wgPeer.pb.h"

namespace wg {

/** \class ReplicaLog
 * \brief In-memory log entries after a base that stands for all compacted
 * ones.
 *
 * Indices start at 1 and have no gaps.
 */
class ReplicaLog
{
public:
  std::uint64_t FirstIndex() const { return baseIndex_ + 1; }
  std::uint64_t LastIndex() const { return baseIndex_ + entries_.size(); }
  std::uint64_t BaseIndex() const { return baseIndex_; }
  std::uint64_t BaseTerm() const { return baseTerm_; }
  std::uint64_t LastTerm() const { return TermAt(LastIndex()); }
  /** \brief Returns 0 for an index before the base or after the last entry. */
  std::uint64_t TermAt(std::uint64_t index) const;
  bool Has(std::uint64_t index) const;
  const wire::LogEntry& At(std::uint64_t index) const;
  void Append(wire::LogEntry entry);
  /** \brief Removes the entries from `index` on. */
  void TruncateFrom(std::uint64_t index);
  /** \brief Removes the entries up to `index`, which the log must hold. */
  void CompactTo(std::uint64_t index);
  /** \brief Removes all entries and sets the base. */
  void Reset(std::uint64_t baseIndex, std::uint64_t baseTerm);

private:
  std::uint64_t baseIndex_ = 0;
  std::uint64_t baseTerm_ = 0;
  std::deque<wire::LogEntry> entries_;
};

} // namespace wg
