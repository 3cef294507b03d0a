// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <vector>

#include "absl/types/span.h"

namespace wg {

/** \brief Demand of one account for slots of a group through one entry box. */
struct ShareDemand
{
  std::string account;
  double weight = 1.0;
  std::string box;
  int wanted = 0; // running and waiting stages
  int coming = 0; // stages of admitted requests that are at earlier stages
};

/** \brief The slots that an account gets through one entry box. */
struct SlotShare
{
  std::string account;
  std::string box;
  double slots = 0.0;
};

/** \brief A division of the slots of a group. */
struct SlotDivision
{
  std::vector<SlotShare> shares; // one for each demand, in its order
  /** Slots per unit of weight of an account whose demand is not met. */
  double slotsPerWeight = 0.0;
  double unused = 0.0; // slots without demand
};

/** \brief Divides the slots of a group: between accounts by weighted max-min
 * fairness, each up to its demand, and within an account in proportion to the
 * demand at each box.
 */
SlotDivision DivideSlots(double slots, absl::Span<const ShareDemand> demands);

/** \brief Returns the slots that an account would get with unlimited demand.
 * \param allotted its slots in the division, over all boxes
 */
double SlotsIfBacklogged(const SlotDivision& division, double weight,
                         double allotted);

} // namespace wg
