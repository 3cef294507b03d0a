// SPDX-License-Identifier: Apache-2.0
#include "wgOriginMessages.h"

namespace wg {

wire::StreamOrigin DescribeOrigin(const std::string& request,
                                  const OriginRecord& record, Elapsed now)
{
  wire::StreamOrigin told;
  told.set_request(request);
  told.set_service(record.origin.service);
  told.set_version(record.origin.version);
  told.set_left_ms(absl::ToInt64Milliseconds(record.until - now));
  return told;
}

namespace detail {

void KeepCopies(OriginRecords& records, const wire::StreamOrigins& copies,
                Elapsed now)
{
  for (const wire::StreamOrigin& copy : copies.origins()) {
    const Elapsed until = now + absl::Milliseconds(copy.left_ms());
    KeepOrigin(records, copy.request(),
               { { copy.service(), copy.version() }, until }, now);
  }
}

OriginAnswer ReadOriginAnswer(const std::string& bytes)
{
  OriginAnswer answer;
  wire::StreamOriginAnswer told;
  if (bytes.empty() || !told.ParseFromString(bytes)) {
    return answer;
  }
  answer.hasAnswered = true;
  if (told.has_origin()) {
    answer.origin =
      StreamOrigin{ told.origin().service(), told.origin().version() };
  }
  for (const wire::StreamOrigin& possible : told.possible()) {
    answer.possible.push_back({ possible.service(), possible.version() });
  }
  answer.isWhole = told.is_whole();
  answer.members.assign(told.members().begin(), told.members().end());
  return answer;
}

} // namespace detail
} // namespace wg
