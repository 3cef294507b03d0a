// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"

#include "wgOutcome.h"

namespace wg {

/** \brief Type of a record; the values are stored in files. */
enum class RecordType : std::uint8_t
{
  Header = 1,
  Entry = 2,
  HardState = 3,
  Truncate = 4,
  Snapshot = 5,
  Identity = 6,
  Endpoints = 7,
  Origins = 8,
  EndpointEnds = 9
};

/** \brief A unit of a file with its own checksum. */
struct Record
{
  RecordType type = RecordType::Header;
  std::string payload;
};

/** \brief Appends a record to a buffer.
 *
 * A record consists of magic, type, length, XXH64 checksum and payload;
 * numbers are little-endian.
 */
void AppendRecord(RecordType type, absl::string_view payload,
                  std::string& bytes);

/** \brief Records of a file and the length of its valid part in bytes. */
struct RecordsRead
{
  std::vector<Record> records;
  std::size_t validBytes = 0;
  std::vector<Record> afterGap; // valid ones that follow invalid bytes
};

/** \brief Reads all records of a file, also those behind invalid bytes. */
RecordsRead ScanRecords(absl::string_view bytes);

/** \brief Reads all records of a file.
 *
 * Bytes after the last valid record are ignored as an interrupted write.
 * \return the valid records, or an error if a valid record follows invalid
 * bytes: the file is damaged then
 */
Outcome<RecordsRead> ReadRecords(absl::string_view bytes);

} // namespace wg
