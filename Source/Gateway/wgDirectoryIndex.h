// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "absl/container/btree_map.h"
#include "absl/strings/string_view.h"

#include "wgElapsed.h"
#include "wgEndpointLoad.h"
#include "wgEndpointStart.h"
#include "wgEndpointTerms.h"
#include "wgFailureShare.h"
#include "wgPeer.pb.h"

namespace wg {

/** \brief One start of an endpoint as its registrations tell, and as this box
 * found it.
 */
struct DirectoryEndpoint
{
  std::string id;      // its identity, see IdentityOf
  EndpointStart start; // its name is what requests to it are addressed with
  std::string service;
  std::string address; // IP:port
  std::string hall;
  std::string version; // of its software; empty: not known
  /** Registrations under its identity have told of several versions. */
  bool isVersionUnsure = false;
  int slots = 1;
  wire::Registration::State state = wire::Registration::READY;
  std::uint64_t sequence = 0;
  Elapsed warmFrom; // until then it is cold, see IsCold
  /** Its hall has just been given work again: until its next heartbeat it is
   * taken to be cold.
   */
  bool coldUntilHeard = false;
  Elapsed changed;        // when its state last changed
  Elapsed known;          // since when this box knows of it
  bool overtaken = false; // by a later start of the same name

  int running = 0; // requests of this box
  int asking = 0;  // requests that wait for a permit, see SendPermits
  double pendingSeconds = 0; // prompt reading that this box has asked for
  int failuresInRow = 0;
  FailureShare failures; // of this box's attempts
  Elapsed avoidUntil;    // after failures
  EndpointTerms terms;   // that it has told
  KnownLoad load;        // that it has reported
  Elapsed deniedUntil;   // no request may be sent within its limits
  Elapsed silentUntil;   // it did not answer when it was asked for its status
};

/** \brief Endpoints in the order of their identities. */
using EndpointsById = absl::btree_map<absl::string_view, DirectoryEndpoint*>;

/** \brief Endpoints by what they are looked for, so that a choice walks those
 * of one service or hall and not all that are known. Those that ended or were
 * overtaken are found by their address alone.
 */
struct DirectoryIndex
{
  /** What an endpoint is listed under. */
  struct Entry
  {
    std::string service;
    std::string hall;
    std::string address;
    bool isPresent = false; // in byService and byHall
  };
  std::map<std::string, EndpointsById, std::less<>> byService;
  std::map<std::string, std::map<std::string, EndpointsById, std::less<>>,
           std::less<>>
    byHall; // by service, then hall; no empty ones
  std::map<std::string, EndpointsById, std::less<>> byAddress;
  std::map<std::string, Entry> entries; // by identity
};

/** \brief Lists the endpoint under what it is now; it must stay where it is
 * until it is taken out.
 */
void IndexEndpoint(DirectoryIndex& index, DirectoryEndpoint& endpoint);

void RemoveFromIndex(DirectoryIndex& index, const std::string& id);

/** \return null where the service has none */
const EndpointsById* FindService(const DirectoryIndex& index,
                                 absl::string_view service);

/** \param hall empty: any
 * \return null where there are none
 */
const EndpointsById* FindInHall(const DirectoryIndex& index,
                                absl::string_view service,
                                absl::string_view hall);

/** \brief How many endpoints of all services a hall has. */
std::size_t CountInHall(const DirectoryIndex& index, absl::string_view hall);

/** \param place below CountInHall
 * \return the endpoint at that place in the order of services and identities
 */
const DirectoryEndpoint& EndpointInHall(const DirectoryIndex& index,
                                        absl::string_view hall,
                                        std::size_t place);

} // namespace wg
