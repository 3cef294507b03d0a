// SPDX-License-Identifier: Apache-2.0
#include "wgEndpointStart.h"

#include "absl/strings/str_cat.h"

namespace wg {

std::string IdentityOf(const EndpointStart& start)
{
  return start.bornMs == 0 ? start.name
                           : absl::StrCat(start.name, "@", start.bornMs);
}

EndpointStart StartOf(const wire::Registration& registration)
{
  return { registration.endpoint(), registration.born_ms() };
}

} // namespace wg
