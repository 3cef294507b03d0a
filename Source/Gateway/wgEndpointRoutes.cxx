// SPDX-License-Identifier: Apache-2.0
#include "wgEndpointRoutes.h"

#include <fstream>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include "wgSocket.h"

namespace wg {

namespace {

using Addresses = std::map<std::string, std::string>;

const std::string& Find(const Addresses& addresses, const std::string& address)
{
  const auto found = addresses.find(address);
  return found == addresses.end() ? address : found->second;
}

} // namespace

const std::string& RouteTo(const EndpointRoutes& routes,
                           const std::string& address)
{
  return Find(routes.via, address);
}

const std::string& RegisteredAt(const EndpointRoutes& routes,
                                const std::string& address)
{
  return Find(routes.registered, address);
}

Outcome<EndpointRoutes> ReadEndpointRoutes(const std::string& path)
{
  EndpointRoutes routes;
  std::ifstream file(path);
  if (!file) {
    return Error{ absl::StrCat("Can't read ", path,
                               "; --endpoint-routes names a file.") };
  }
  std::string line;
  for (int number = 1; std::getline(file, line); ++number) {
    const std::vector<std::string> words =
      absl::StrSplit(line, ' ', absl::SkipWhitespace());
    if (words.empty()) {
      continue;
    }
    const bool isSound = words.size() == 2 &&
                         Succeeded(ParseSocketAddress(words[0])) &&
                         Succeeded(ParseSocketAddress(words[1]));
    if (!isSound) {
      return Error{ absl::StrCat(path, ", line ", number,
                                 ": write two addresses IP:port, the one that "
                                 "an endpoint registers and the one under "
                                 "which this box reaches it.") };
    }
    routes.via[words[0]] = words[1];
    routes.registered[words[1]] = words[0];
  }
  return routes;
}

} // namespace wg
