// SPDX-License-Identifier: Apache-2.0
#include "wgReplicaLog.h"

#include <utility>

namespace wg {

bool ReplicaLog::Has(std::uint64_t index) const
{
  return index > baseIndex_ && index <= LastIndex();
}

const wire::LogEntry& ReplicaLog::At(std::uint64_t index) const
{
  return entries_[index - baseIndex_ - 1];
}

std::uint64_t ReplicaLog::TermAt(std::uint64_t index) const
{
  if (index == baseIndex_) {
    return baseTerm_;
  }
  return Has(index) ? At(index).term() : 0;
}

void ReplicaLog::Append(wire::LogEntry entry)
{
  entries_.push_back(std::move(entry));
}

void ReplicaLog::TruncateFrom(std::uint64_t index)
{
  while (LastIndex() >= index && !entries_.empty()) {
    entries_.pop_back();
  }
}

void ReplicaLog::CompactTo(std::uint64_t index)
{
  if (!Has(index)) {
    return;
  }
  baseTerm_ = TermAt(index);
  entries_.erase(entries_.begin(),
                 entries_.begin() +
                   static_cast<std::ptrdiff_t>(index - baseIndex_));
  baseIndex_ = index;
}

void ReplicaLog::Reset(std::uint64_t baseIndex, std::uint64_t baseTerm)
{
  entries_.clear();
  baseIndex_ = baseIndex;
  baseTerm_ = baseTerm;
}

} // namespace wg
