// SPDX-License-Identifier: Apache-2.0
#include "wgRecord.h"

#include <cstring>
#include <optional>

#include <xxhash.h>

#include "absl/strings/str_cat.h"

namespace wg {
namespace {

constexpr std::uint32_t Magic = 0x31526757; // "WgR1"
constexpr std::size_t HeaderBytes = 4 + 1 + 4 + 8;
constexpr std::size_t MaxPayloadBytes = 1U << 30U;

template <class T>
void AppendLittleEndian(T value, std::string& bytes)
{
  for (std::size_t i = 0; i < sizeof(T); ++i) {
    bytes.push_back(static_cast<char>((value >> (8 * i)) & 0xFF));
  }
}

template <class T>
T ReadLittleEndian(absl::string_view bytes, std::size_t at)
{
  T value = 0;
  for (std::size_t i = 0; i < sizeof(T); ++i) {
    value |= static_cast<T>(static_cast<unsigned char>(bytes[at + i]))
             << (8 * i);
  }
  return value;
}

std::uint64_t Checksum(RecordType type, absl::string_view payload)
{
  return XXH64(payload.data(), payload.size(),
               static_cast<std::uint64_t>(type));
}

/** Returns the size in bytes of the valid record at an offset, if any. */
std::optional<std::size_t> ValidRecordSize(absl::string_view bytes,
                                           std::size_t at)
{
  if (bytes.size() - at < HeaderBytes ||
      ReadLittleEndian<std::uint32_t>(bytes, at) != Magic) {
    return std::nullopt;
  }
  const auto type = static_cast<RecordType>(bytes[at + 4]);
  const std::size_t length = ReadLittleEndian<std::uint32_t>(bytes, at + 5);
  const bool fits =
    length <= MaxPayloadBytes && bytes.size() - at - HeaderBytes >= length;
  if (!fits) {
    return std::nullopt;
  }
  const absl::string_view payload = bytes.substr(at + HeaderBytes, length);
  if (ReadLittleEndian<std::uint64_t>(bytes, at + 9) !=
      Checksum(type, payload)) {
    return std::nullopt;
  }
  return HeaderBytes + length;
}

Record RecordAt(absl::string_view bytes, std::size_t at, std::size_t size)
{
  return { static_cast<RecordType>(bytes[at + 4]),
           std::string(bytes.substr(at + HeaderBytes, size - HeaderBytes)) };
}

} // namespace

void AppendRecord(RecordType type, absl::string_view payload,
                  std::string& bytes)
{
  AppendLittleEndian(Magic, bytes);
  bytes.push_back(static_cast<char>(type));
  AppendLittleEndian(static_cast<std::uint32_t>(payload.size()), bytes);
  AppendLittleEndian(Checksum(type, payload), bytes);
  bytes.append(payload.data(), payload.size());
}

RecordsRead ScanRecords(absl::string_view bytes)
{
  RecordsRead read;
  while (read.validBytes < bytes.size()) {
    const auto size = ValidRecordSize(bytes, read.validBytes);
    if (!size) {
      break;
    }
    read.records.push_back(RecordAt(bytes, read.validBytes, *size));
    read.validBytes += *size;
  }
  for (std::size_t at = read.validBytes; at + HeaderBytes <= bytes.size();) {
    const auto size = ValidRecordSize(bytes, at);
    if (size) {
      read.afterGap.push_back(RecordAt(bytes, at, *size));
    }
    at += size.value_or(1);
  }
  return read;
}

Outcome<RecordsRead> ReadRecords(absl::string_view bytes)
{
  RecordsRead read = ScanRecords(bytes);
  if (!read.afterGap.empty()) {
    return Error{ absl::StrCat("The record at byte ", read.validBytes,
                               " is damaged, but valid records follow it.") };
  }
  return read;
}

} // namespace wg
