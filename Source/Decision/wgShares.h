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
  int coming = 0; // of admitted requests that are still at earlier stages
};

/** \brief How many places an account gets through one entry box. */
struct SharePlaces
{
  std::string account;
  std::string box;
  double places = 0.0;
};

/** \brief How a group's places are divided. */
struct PlaceDivision
{
  std::vector<SharePlaces> shares; // one for each demand, in its order
  double perWeight = 0.0; // what an account that wants more gets, by weight
  double unused = 0.0;    // places that nobody wants
};

/** \brief Divides a group's places: between accounts by weight, each up to
 * what it wants, and within an account in proportion to what each box wants.
 * What one account leaves unused goes to the others.
 */
PlaceDivision DividePlaces(double places,
                           absl::Span<const ShareDemand> demands);

/** \brief The places that an account would get if it wanted all there are.
 * \param given what the division gave it, over all boxes
 */
double PlacesIfHungry(const PlaceDivision& division, double weight,
                      double given);

} // namespace wg
