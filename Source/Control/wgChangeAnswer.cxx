// SPDX-License-Identifier: Apache-2.0
#include "wgChangeAnswer.h"

namespace wg {

std::string PrintChangeResult(wire::ChangeResult::Verdict verdict,
                              const std::string& message,
                              const std::string& leader)
{
  wire::ChangeResult result;
  result.set_verdict(verdict);
  result.set_message(message);
  result.set_leader(leader);
  return result.SerializeAsString();
}

} // namespace wg
