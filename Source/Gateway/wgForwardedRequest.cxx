// SPDX-License-Identifier: Apache-2.0
#include "wgForwardedRequest.h"

#include "absl/strings/str_cat.h"

namespace wg {
namespace {

void SetIfAny(HttpRequest& request, const std::string& name,
              absl::string_view value)
{
  if (!value.empty()) {
    request.set(name, std::string(value));
  }
}

} // namespace

HttpRequest MakeForwardedRequest(const HttpRequest& asked,
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
  SetIfAny(request, names.endpoint, facts.endpoint);
  SetIfAny(request, names.account, facts.account);
  SetIfAny(request, names.inputs, facts.inputs);
  SetIfAny(request, names.lastEvent, facts.lastEvent);
  return request;
}

} // namespace wg
