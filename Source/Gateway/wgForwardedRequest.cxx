// SPDX-License-Identifier: Apache-2.0
#include "wgForwardedRequest.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace wg {

Outcome<HttpRequest> MakeForwardedRequest(const HttpRequest& asked,
                                          const FieldNames& names,
                                          const ForwardFacts& facts)
{
  HttpRequest request = asked;
  RemoveConnectionFields(request, names.endToEnd);
  for (const std::string& name :
       { names.key, names.account, names.rank, names.inputs, names.endpoint,
         names.deadline }) {
    request.erase(name);
  }
  for (const std::string& name : names.reserved) {
    request.erase(name);
  }
  request.set(names.deadline,
              absl::StrCat(absl::ToInt64Milliseconds(facts.left)));
  const std::pair<absl::string_view, absl::string_view> said[] = {
    { names.endpoint, facts.endpoint },
    { names.account, facts.account },
    { names.inputs, facts.inputs },
    { names.lastEvent, facts.lastEvent },
  };
  for (const auto& [name, value] : said) {
    if (!value.empty() && !SetField(request, name, value)) {
      return Error{ absl::StrCat("The field ", name, " can't have a value of ",
                                 value.size(),
                                 " bytes, or one with control characters.") };
    }
  }
  return request;
}

} // namespace wg
