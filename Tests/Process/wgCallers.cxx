// SPDX-License-Identifier: Apache-2.0
#include "wgCallers.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace wg::test {
namespace {

constexpr int StatusOk = 200;

} // namespace

Callers::Callers(int threads, Send send)
  : send_(std::move(send))
{
  for (int i = 0; i < threads; ++i) {
    threads_.emplace_back([this] { Work(); });
  }
}

Callers::~Callers()
{
  Stop();
}

std::vector<CallerRecord> Callers::Stop()
{
  stopping_ = true;
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
  return records_;
}

void Callers::Work()
{
  while (!stopping_) {
    CallerRecord record = send_(next_++);
    const std::lock_guard<std::mutex> lock(mutex_);
    records_.push_back(std::move(record));
  }
}

std::string Input(int number)
{
  return absl::StrCat("予約のお知らせ", number,
                      "番の方、明日の午後3時です。番号", number * 7919);
}

int CountOk(const std::vector<CallerRecord>& records)
{
  return static_cast<int>(std::count_if(
    records.begin(), records.end(),
    [](const CallerRecord& record) { return record.status == StatusOk; }));
}

} // namespace wg::test
