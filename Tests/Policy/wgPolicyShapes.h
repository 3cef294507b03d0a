// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <vector>

namespace wg::test {

/** \brief Endpoints of one service of a deployment. */
struct ShapeGroup
{
  std::string name;
  int endpoints = 1;
  int slots = 1;
  double meanSeconds = 0.1; // mean run time of a stage in a full batch
  bool repeatable = true;   // a failed attempt may be retried
};

/** \brief Pipeline of a deployment: the stages of its requests, in order. */
struct ShapePipeline
{
  std::vector<std::size_t> stages; // indices into Shape::groups
  double deadlineSeconds = 3.0;    // after the arrival of a request
  double fraction = 1.0;           // of all requests
};

/** \brief Client account of a deployment. */
struct ShapeAccount
{
  std::string name;
  double weight = 1.0;   // of the account in fair queueing
  double fraction = 1.0; // of all requests
};

/** \brief Model of a deployment for the policy measurements.
 *
 * The last account is the quiet one, with the fewest requests.
 */
struct Shape
{
  std::string name;
  std::vector<ShapeGroup> groups;
  std::vector<ShapePipeline> pipelines;
  std::vector<ShapeAccount> accounts;
  double linkSeconds = 0.0005; // one-way latency between halls
};

/** \brief Returns the model of the Hinokuni deployment. */
Shape HinokuniShape();

/** \brief Returns the model of the Windward deployment. */
Shape WindwardShape();

/** \brief Returns the requests per second that the bottleneck group can serve.
 */
double CapacityOf(const Shape& shape);

} // namespace wg::test
