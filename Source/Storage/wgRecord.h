// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"

#include "wgOutcome.h"

namespace wg {

enum class RecordType : std::uint8_t
{
  Header = 1,
  Entry = 2,
  HardState = 3,
  Truncate = 4,
  Snapshot = 5,
  Identity = 6,
  Endpoints = 7
};

/** \brief One checksummed piece of a file. */
struct Record
{
  RecordType type = RecordType::Header;
  std::string payload;
};

/** \brief Appends a record: magic, type, length, xxh64 checksum, payload. */
void AppendRecord(RecordType type, absl::string_view payload,
                  std::string& bytes);

/** \brief The records of a file, and where the sound part of it ends. */
struct RecordsRead
{
  std::vector<Record> records;
  std::size_t soundBytes = 0;
};

/** \brief Reads all records. What follows the last sound one is taken as a
 * torn tail, unless a sound record follows it: that is damage, an error.
 */
Outcome<RecordsRead> ReadRecords(absl::string_view bytes);

} // namespace wg
