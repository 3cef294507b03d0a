// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "absl/strings/string_view.h"

namespace wg {

enum class Comparison
{
  Equal,
  NotEqual,
  Less,
  LessOrEqual,
  Greater,
  GreaterOrEqual
};

/** \brief One condition of a `where`. */
struct Filter
{
  std::string field;
  Comparison comparison = Comparison::Equal;
  std::string value;
};

/** \brief show TABLE [by FIELD] [where ...] [order by FIELD] */
struct ShowCommand
{
  std::string table;
  std::string groupBy;
  std::vector<Filter> filters;
  std::string orderBy;
};

/** \brief explain request PREFIX */
struct ExplainCommand
{
  std::string request;
};

/** \brief set account NAME FIELD VALUE [at revision N] */
struct SetAccountCommand
{
  std::string account;
  std::string field;
  double value = 0.0;
  std::uint64_t baseRevision = 0; // 0: whatever is in force
};

/** \brief drain endpoint NAME, undrain endpoint NAME [at revision N] */
struct DrainCommand
{
  std::string endpoint;
  bool drained = true;
  std::uint64_t baseRevision = 0;
};

/** \brief evacuate HALL, return HALL */
struct HallCommand
{
  std::string hall;
  bool evacuate = true;
};

/** \brief apply FILE [at revision N] */
struct ApplyCommand
{
  std::string file;
  std::uint64_t baseRevision = 0;
};

/** \brief wait revision N */
struct WaitCommand
{
  std::uint64_t revision = 0;
};

/** \brief order endpoint NAME model|adapter|version|role VALUE */
struct OrderCommand
{
  std::string endpoint;
  std::string what;
  std::string name;
};

/** \brief rollout group NAME version VERSION ready N [at revision N] */
struct RolloutCommand
{
  std::string group;
  std::string version;
  std::uint32_t minReady = 0; // endpoints
  std::uint64_t baseRevision = 0;
};

/** \brief stop rollout GROUP [at revision N] */
struct StopRolloutCommand
{
  std::string group;
  std::uint64_t baseRevision = 0;
};

/** \brief replace box LOST with SPARE */
struct ReplaceCommand
{
  std::string lost;
  std::string spare;
};

/** \brief found cluster */
struct FoundCommand
{
};

using Command =
  std::variant<ShowCommand, ExplainCommand, SetAccountCommand, DrainCommand,
               ApplyCommand, WaitCommand, OrderCommand, RolloutCommand,
               StopRolloutCommand, ReplaceCommand, FoundCommand, HallCommand>;

/** \brief A word that is wrong, where it stands, and what it might be. */
struct LanguageError
{
  std::size_t position = 0; // bytes from the start of the text
  std::string message;      // a full sentence
};

/** \brief Reads one command of the operators' language. */
std::variant<Command, LanguageError> ParseCommand(absl::string_view text);

/** \brief The words that may come next, for completion by the shell. */
std::vector<std::string> CompleteCommand(absl::string_view text);

} // namespace wg
