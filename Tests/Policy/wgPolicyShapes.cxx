// SPDX-License-Identifier: Apache-2.0
#include "wgPolicyShapes.h"

#include <algorithm>

namespace wg::test {

Shape HinokuniShape()
{
  Shape shape;
  shape.name = "hinokuni";
  shape.groups = { { "encode", 3, 8, 0.03, true },
                   { "retrieve", 3, 8, 0.04, true },
                   { "rerank", 3, 8, 0.05, true },
                   { "llm", 18, 8, 1.2, true },
                   { "sms", 3, 4, 0.08, false },
                   { "clinic-console", 6, 8, 0.05, true },
                   { "shop-console", 6, 8, 0.05, true } };
  shape.pipelines = { { { 0, 1, 2, 3, 4 }, 5.0, 0.4 },
                      { { 0, 1, 2, 3, 5 }, 5.0, 0.3 },
                      { { 0, 3, 6 }, 4.0, 0.3 } };
  shape.accounts = { { "kumamoto-clinics", 4, 0.35 },
                     { "kagoshima-clinics", 3, 0.25 },
                     { "pharmacies", 2, 0.2 },
                     { "shops", 2, 0.18 },
                     { "quiet", 1, 0.02 } };
  return shape;
}

Shape WindwardShape()
{
  Shape shape;
  shape.name = "windward";
  shape.groups = {
    { "encode", 3, 8, 0.03, true },    { "retrieve", 3, 8, 0.04, true },
    { "rerank", 3, 8, 0.05, true },    { "assistant", 12, 8, 1.0, true },
    { "catalogue", 3, 8, 0.06, true }, { "order-intake", 5, 4, 0.1, false },
    { "invoicing", 5, 4, 0.1, false }, { "delivery", 6, 8, 0.08, true }
  };
  shape.pipelines = { { { 0, 1, 2, 3, 4 }, 5.0, 0.35 },
                      { { 0, 1, 2, 3 }, 5.0, 0.25 },
                      { { 0, 1, 4 }, 1.5, 0.2 },
                      { { 4, 5, 6, 7 }, 5.0, 0.2 } };
  shape.accounts = { { "kingston-marine", 3, 0.35 },
                     { "palisadoes", 3, 0.3 },
                     { "rockfort", 3, 0.2 },
                     { "yard-foremen", 2, 0.13 },
                     { "quiet", 1, 0.02 } };
  return shape;
}

double CapacityOf(const Shape& shape)
{
  double capacity = 1e9;
  for (std::size_t g = 0; g < shape.groups.size(); ++g) {
    double visits = 0.0;
    for (const ShapePipeline& pipeline : shape.pipelines) {
      const auto uses =
        std::count(pipeline.stages.begin(), pipeline.stages.end(), g);
      visits += pipeline.fraction * static_cast<double>(uses);
    }
    const ShapeGroup& group = shape.groups[g];
    const double groupCapacity =
      group.endpoints * group.slots / group.meanSeconds;
    capacity =
      visits > 0 ? std::min(capacity, groupCapacity / visits) : capacity;
  }
  return capacity;
}

} // namespace wg::test
