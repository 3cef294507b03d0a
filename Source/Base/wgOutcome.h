// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <utility>
#include <variant>

namespace wg {

/** \class Error
 * \brief A failure as a value: a full sentence naming the thing and remedy.
 */
struct Error
{
  std::string message;
};

/** \brief Either a value or the reason why there is none. */
template <class T>
using Outcome = std::variant<T, Error>;

/** \class Done
 * \brief The value of an operation that yields nothing but success.
 */
struct Done
{
};

template <class T>
bool Succeeded(const Outcome<T>& outcome)
{
  return std::holds_alternative<T>(outcome);
}

template <class T>
T& Value(Outcome<T>& outcome)
{
  return std::get<T>(outcome);
}

template <class T>
const T& Value(const Outcome<T>& outcome)
{
  return std::get<T>(outcome);
}

template <class T>
const std::string& Message(const Outcome<T>& outcome)
{
  return std::get<Error>(outcome).message;
}

} // namespace wg
