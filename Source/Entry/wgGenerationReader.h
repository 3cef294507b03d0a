// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <functional>
#include <string>

#include "absl/strings/string_view.h"

#include "wgCallerLink.h"
#include "wgStageProtocol.h"
#include "wgTokenStream.h"

namespace wg {

/** \class GenerationReader
 * \brief Reads one try of a generation, which goes on where the last one
 * ended.
 */
class GenerationReader
{
public:
  /** \param stream what the caller has already; taken further
   * \param sink gets the new tokens; may be empty
   */
  GenerationReader(TokenStream& stream, const TokenSink& sink);
  /** \brief Takes bytes as they come; false when reading is to end. */
  bool Take(absl::string_view bytes);
  bool IsWhole() const { return whole_; }
  bool HasCallerLeft() const { return callerLeft_; }

private:
  bool OnEvent(const std::string& data);

  TokenStream& stream_;
  const TokenSink& sink_;
  EventReader events_;
  bool whole_ = false;
  bool callerLeft_ = false;
};

} // namespace wg
