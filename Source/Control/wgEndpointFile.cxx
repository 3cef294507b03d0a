// SPDX-License-Identifier: Apache-2.0
#include "wgEndpointFile.h"

#include <utility>

#include "absl/strings/str_cat.h"

#include "wgLog.h"
#include "wgRecord.h"

namespace wg {
namespace {

constexpr const char* FileName = "endpoints";
/** Endpoints that were known longer ago may have been replaced by others. */
constexpr absl::Duration OfUseFor = absl::Minutes(1);

} // namespace

EndpointFile::EndpointFile(FileOperations& files, std::string folder)
  : files_(files)
  , folder_(std::move(folder))
  , thread_([this] { Run(); })
{
}

EndpointFile::~EndpointFile()
{
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  thread_.join();
}

std::optional<wire::RememberedEndpoints> EndpointFile::Read(
  absl::Time now) const
{
  const Outcome<std::string> bytes =
    ReadWholeFile(absl::StrCat(folder_, "/", FileName));
  if (!Succeeded(bytes)) {
    return std::nullopt; // a fresh folder, or a new disk
  }
  const auto read = ReadRecords(Value(bytes));
  const bool isWhole = Succeeded(read) && Value(read).records.size() == 1 &&
                       Value(read).records[0].type == RecordType::Endpoints;
  wire::RememberedEndpoints remembered;
  if (!isWhole ||
      !remembered.ParseFromString(Value(read).records[0].payload)) {
    LogChange("endpoints", "the file of known endpoints is damaged; they are "
                           "waited for");
    return std::nullopt;
  }
  const absl::Duration age =
    absl::AbsDuration(now - absl::FromUnixMillis(remembered.kept_ms()));
  if (age > OfUseFor) {
    remembered.clear_endpoints(); // what ended them is remembered for longer
  }
  return remembered;
}

void EndpointFile::Keep(wire::RememberedEndpoints endpoints, absl::Time now)
{
  endpoints.set_kept_ms(absl::ToUnixMillis(now));
  absl::MutexLock lock(&mutex_);
  next_ = std::move(endpoints);
}

void EndpointFile::Run()
{
  bool failed = false;
  while (true) {
    wire::RememberedEndpoints endpoints;
    {
      absl::MutexLock lock(&mutex_);
      mutex_.Await(absl::Condition(this, &EndpointFile::HasWork));
      if (stopping_) {
        return;
      }
      endpoints = *std::exchange(next_, std::nullopt);
    }
    std::string bytes;
    AppendRecord(RecordType::Endpoints, endpoints.SerializeAsString(), bytes);
    const auto written = ReplaceFile(files_, folder_, FileName, bytes);
    if (Succeeded(written) == failed) {
      failed = !Succeeded(written);
      LogChange("endpoints",
                failed ? absl::StrCat("can't be kept: ", Message(written))
                       : "are kept again");
    }
  }
}

bool TakeKeepTurn(KeepTurns& turns, std::uint64_t endpoints,
                  std::uint64_t crashes, Elapsed now)
{
  const bool isKept = turns.endpoints == endpoints && turns.crashes == crashes;
  if (isKept || now < turns.next) {
    return false;
  }
  turns = { endpoints, crashes, now + KeepEndpointsPeriod };
  return true;
}

} // namespace wg
