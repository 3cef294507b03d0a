// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <deque>

#include "absl/types/span.h"

#include "wgPeer.pb.h"

namespace wg {

/** \class ReplicaLog
 * \brief The entries after a base, which stands for all compacted ones.
 *
 * Indices start at 1 and have no gaps. Pure: nothing here is on a disk.
 */
class ReplicaLog
{
public:
  std::uint64_t FirstIndex() const { return baseIndex_ + 1; }
  std::uint64_t LastIndex() const { return baseIndex_ + entries_.size(); }
  std::uint64_t BaseIndex() const { return baseIndex_; }
  std::uint64_t BaseTerm() const { return baseTerm_; }
  std::uint64_t LastTerm() const { return TermAt(LastIndex()); }
  /** \brief 0 for an index that is compacted or not there. */
  std::uint64_t TermAt(std::uint64_t index) const;
  bool Has(std::uint64_t index) const;
  const wire::LogEntry& At(std::uint64_t index) const;
  void Append(wire::LogEntry entry);
  /** \brief Forgets the entries from the index on. */
  void TruncateFrom(std::uint64_t index);
  /** \brief Forgets the entries up to the index, which must be there. */
  void CompactTo(std::uint64_t index);
  /** \brief Forgets all entries and starts after the given one. */
  void Reset(std::uint64_t baseIndex, std::uint64_t baseTerm);

private:
  std::uint64_t baseIndex_ = 0;
  std::uint64_t baseTerm_ = 0;
  std::deque<wire::LogEntry> entries_;
};

} // namespace wg
