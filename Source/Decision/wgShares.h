// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <vector>

#include "absl/types/span.h"

namespace wg {

/** \brief What one account asks of a group through one entry box. */
struct ShareDemand
{
  std::string account;
  double weight = 1.0;
  std::string box;
  int wanted = 0; // running and waiting stages
};

/** \brief How many places an account gets through one entry box. */
struct SharePlaces
{
  std::string account;
  std::string box;
  double places = 0.0;
};

/** \brief Divides a group's places: between accounts by weight, each up to
 * what it wants, and within an account in proportion to what each box wants.
 * What one account leaves unused goes to the others.
 */
std::vector<SharePlaces> DividePlaces(double places,
                                      absl::Span<const ShareDemand> demands);

} // namespace wg
