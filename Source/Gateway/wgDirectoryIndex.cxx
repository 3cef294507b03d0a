// SPDX-License-Identifier: Apache-2.0
#include "wgDirectoryIndex.h"

#include <iterator>

namespace wg {
namespace {

using Registration = wire::Registration;

void RemoveFromServices(DirectoryIndex& index, const std::string& id,
                        const DirectoryIndex::Entry& entry)
{
  auto service = index.byService.find(entry.service);
  service->second.erase(id);
  auto halls = index.byHall.find(entry.service);
  auto hall = halls->second.find(entry.hall);
  hall->second.erase(id);
  if (hall->second.empty()) {
    halls->second.erase(hall);
  }
  if (service->second.empty()) {
    index.byService.erase(service);
    index.byHall.erase(halls);
  }
}

void RemoveFromAddresses(DirectoryIndex& index, const std::string& id,
                         const DirectoryIndex::Entry& entry)
{
  auto found = index.byAddress.find(entry.address);
  found->second.erase(id);
  if (found->second.empty()) {
    index.byAddress.erase(found);
  }
}

} // namespace

void IndexEndpoint(DirectoryIndex& index, DirectoryEndpoint& endpoint)
{
  const bool isPresent =
    endpoint.state != Registration::GONE && !endpoint.overtaken;
  auto [found, isNew] = index.entries.try_emplace(endpoint.id);
  DirectoryIndex::Entry& entry = found->second;
  const bool isMoved = entry.isPresent != isPresent ||
                       entry.service != endpoint.service ||
                       entry.hall != endpoint.hall;
  if (isMoved && entry.isPresent) {
    RemoveFromServices(index, endpoint.id, entry);
  }
  if (isMoved && isPresent) {
    index.byService[endpoint.service][endpoint.id] = &endpoint;
    index.byHall[endpoint.service][endpoint.hall][endpoint.id] = &endpoint;
  }
  const bool isReaddressed = isNew || entry.address != endpoint.address;
  if (isReaddressed && !isNew) {
    RemoveFromAddresses(index, endpoint.id, entry);
  }
  if (isReaddressed) {
    index.byAddress[endpoint.address][endpoint.id] = &endpoint;
  }
  if (isMoved || isReaddressed) {
    entry = { endpoint.service, endpoint.hall, endpoint.address, isPresent };
  }
}

void RemoveFromIndex(DirectoryIndex& index, const std::string& id)
{
  auto found = index.entries.find(id);
  if (found->second.isPresent) {
    RemoveFromServices(index, id, found->second);
  }
  RemoveFromAddresses(index, id, found->second);
  index.entries.erase(found);
}

const EndpointsById* FindService(const DirectoryIndex& index,
                                 absl::string_view service)
{
  auto found = index.byService.find(service);
  return found == index.byService.end() ? nullptr : &found->second;
}

const EndpointsById* FindInHall(const DirectoryIndex& index,
                                absl::string_view service,
                                absl::string_view hall)
{
  if (hall.empty()) {
    return FindService(index, service);
  }
  auto halls = index.byHall.find(service);
  if (halls == index.byHall.end()) {
    return nullptr;
  }
  auto found = halls->second.find(hall);
  return found == halls->second.end() ? nullptr : &found->second;
}

std::size_t CountInHall(const DirectoryIndex& index, absl::string_view hall)
{
  std::size_t count = 0;
  for (const auto& [service, halls] : index.byHall) {
    const auto found = halls.find(hall);
    count += found == halls.end() ? 0 : found->second.size();
  }
  return count;
}

const DirectoryEndpoint& EndpointInHall(const DirectoryIndex& index,
                                        absl::string_view hall,
                                        std::size_t place)
{
  const EndpointsById* endpoints = nullptr;
  for (const auto& [service, halls] : index.byHall) {
    const auto found = halls.find(hall);
    if (found == halls.end()) {
      continue;
    }
    endpoints = &found->second;
    if (place < endpoints->size()) {
      break;
    }
    place -= endpoints->size();
  }
  return *std::next(endpoints->begin(), static_cast<std::ptrdiff_t>(place))
            ->second;
}

} // namespace wg
