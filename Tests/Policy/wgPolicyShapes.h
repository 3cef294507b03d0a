// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <vector>

namespace wg::test {

/** \brief One endpoint group of a shape. */
struct ShapeGroup
{
  std::string name;
  int endpoints = 1;
  int slots = 1;
  double meanSeconds = 0.1; // of one stage in a full batch
  bool repeatable = true;
};

struct ShapePipeline
{
  std::vector<std::size_t> stages; // indices of groups
  double deadlineSeconds = 3.0;
  double share = 1.0; // of all requests
};

struct ShapeAccount
{
  std::string name;
  double weight = 1.0;
  double share = 1.0; // of all requests
};

/** \brief A deployment, as the policy measurements see it. */
struct Shape
{
  std::string name;
  std::vector<ShapeGroup> groups;
  std::vector<ShapePipeline> pipelines;
  std::vector<ShapeAccount> accounts;
  double linkSeconds = 0.0005; // one way between halls
};

Shape HinokuniShape();
Shape WindwardShape();

/** \brief Requests a second that the tightest group can carry. */
double CapacityOf(const Shape& shape);

} // namespace wg::test
