// SPDX-License-Identifier: Apache-2.0
#include "wgLanguage.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include <boost/spirit/home/x3.hpp>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace wg {
namespace {

namespace x3 = boost::spirit::x3;

constexpr std::array<const char*, 13> Verbs = {
  "show",  "explain", "set",  "drain",   "undrain",  "apply", "wait",
  "order", "rollout", "stop", "replace", "evacuate", "return"
};
constexpr std::array<const char*, 10> Tables = {
  "endpoints", "groups",   "accounts", "boxes",    "requests",
  "cost",      "replicas", "config",   "rollouts", "halls"
};
constexpr std::array<const char*, 4> Orders = { "model", "adapter", "version",
                                                "role" };
constexpr std::array<const char*, 4> AccountFields = {
  "weight", "rate_per_second", "concurrency", "top_priority"
};
constexpr std::size_t MaxSuggestionDistance = 3;

/** One word and where it starts. */
struct Word
{
  std::string text;
  std::size_t position = 0;
};

/** Splits into bare words, quoted strings and comparison signs. */
std::optional<std::vector<Word>> SplitWords(absl::string_view text,
                                            std::size_t& stoppedAt)
{
  std::vector<Word> words;
  const char* const begin = text.data();
  const char* at = begin;
  const char* const end = begin + text.size();
  const auto sign = x3::string("!=") | x3::string("<=") | x3::string(">=") |
                    x3::string("=") | x3::string("<") | x3::string(">");
  const auto quoted = '"' >> *(x3::char_ - '"') >> '"';
  const auto bare = +(x3::graph - x3::char_("\"=<>!"));
  for (;;) {
    x3::parse(at, end, x3::omit[*x3::space]);
    if (at == end) {
      return words;
    }
    Word word;
    word.position = static_cast<std::size_t>(at - begin);
    const bool matched = x3::parse(at, end, sign, word.text) ||
                         x3::parse(at, end, quoted, word.text) ||
                         x3::parse(at, end, bare, word.text);
    if (!matched) {
      stoppedAt = word.position;
      return std::nullopt;
    }
    words.push_back(std::move(word));
  }
}

/** Number of single-letter edits between two words. */
std::size_t EditDistance(absl::string_view a, absl::string_view b)
{
  std::vector<std::size_t> row(b.size() + 1);
  for (std::size_t j = 0; j <= b.size(); ++j) {
    row[j] = j;
  }
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t changed = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({ row[j] + 1, row[j - 1] + 1, changed });
    }
  }
  return row[b.size()];
}

template <class Choices>
std::string Suggest(absl::string_view word, const Choices& choices)
{
  std::string best;
  std::size_t bestDistance = MaxSuggestionDistance + 1;
  for (const char* choice : choices) {
    const std::size_t distance = EditDistance(word, choice);
    if (distance < bestDistance) {
      bestDistance = distance;
      best = choice;
    }
  }
  return best.empty() ? std::string()
                      : absl::StrCat(" Did you mean \"", best, "\"?");
}

/** Thrown inside this file only, and turned into a value by ParseCommand. */
struct Wrong
{
  LanguageError error;
};

/** Takes words off a command, one by one. */
class WordReader
{
public:
  WordReader(std::vector<Word> words, std::size_t end)
    : words_(std::move(words))
    , end_(end)
  {
  }

  bool AtEnd() const { return next_ == words_.size(); }
  bool NextIs(absl::string_view text) const
  {
    return !AtEnd() && words_[next_].text == text;
  }

  Word Take(absl::string_view what)
  {
    if (AtEnd()) {
      throw Wrong{ { end_, absl::StrCat("Here ", what, " is missing.") } };
    }
    return words_[next_++];
  }

  template <class Choices>
  std::string TakeOneOf(absl::string_view what, const Choices& choices)
  {
    const Word word = Take(what);
    if (std::find(choices.begin(), choices.end(), word.text) ==
        choices.end()) {
      throw Wrong{ { word.position,
                     absl::StrCat("\"", word.text, "\" is not ", what,
                                  "; use one of ",
                                  absl::StrJoin(choices, ", "), ".",
                                  Suggest(word.text, choices)) } };
    }
    return word.text;
  }

  void Expect(const char* text)
  {
    TakeOneOf(absl::StrCat("the word \"", text, "\""),
              std::array<const char*, 1>{ text });
  }

  template <class Number>
  Number TakeNumber(absl::string_view what)
  {
    const Word word = Take(what);
    Number value{};
    bool sound = false;
    if constexpr (std::is_floating_point_v<Number>) {
      sound = absl::SimpleAtod(word.text, &value);
    } else {
      sound = absl::SimpleAtoi(word.text, &value);
    }
    if (!sound) {
      throw Wrong{ { word.position,
                     absl::StrCat("\"", word.text, "\" is no number; here ",
                                  what, " is expected.") } };
    }
    return value;
  }

  void ExpectEnd()
  {
    if (!AtEnd()) {
      throw Wrong{ { words_[next_].position,
                     absl::StrCat("The command ends before \"",
                                  words_[next_].text, "\"; remove it.") } };
    }
  }

private:
  std::vector<Word> words_;
  std::size_t next_ = 0;
  std::size_t end_;
};

Comparison TakeComparison(WordReader& reader)
{
  constexpr std::array<const char*, 6> signs = { "=",  "!=", "<",
                                                 "<=", ">",  ">=" };
  const std::string sign = reader.TakeOneOf("a comparison", signs);
  const auto found = std::find(signs.begin(), signs.end(), sign);
  return static_cast<Comparison>(found - signs.begin());
}

Filter TakeFilter(WordReader& reader)
{
  Filter filter;
  filter.field = reader.Take("a field").text;
  filter.comparison = TakeComparison(reader);
  filter.value = reader.Take("a value").text;
  return filter;
}

ShowCommand ParseShow(WordReader& reader)
{
  ShowCommand show;
  show.table = reader.TakeOneOf("a table", Tables);
  if (reader.NextIs("by")) {
    reader.Expect("by");
    show.groupBy = reader.Take("a field").text;
  }
  if (reader.NextIs("where")) {
    reader.Expect("where");
    show.filters.push_back(TakeFilter(reader));
    while (reader.NextIs("and")) {
      reader.Expect("and");
      show.filters.push_back(TakeFilter(reader));
    }
  }
  if (reader.NextIs("order")) {
    reader.Expect("order");
    reader.Expect("by");
    show.orderBy = reader.Take("a field").text;
  }
  return show;
}

std::uint64_t ParseBaseRevision(WordReader& reader)
{
  if (!reader.NextIs("at")) {
    return 0;
  }
  reader.Expect("at");
  reader.Expect("revision");
  return reader.TakeNumber<std::uint64_t>("a revision");
}

SetAccountCommand ParseSet(WordReader& reader)
{
  SetAccountCommand set;
  reader.Expect("account");
  set.account = reader.Take("an account's name").text;
  set.field = reader.TakeOneOf("a field of an account", AccountFields);
  set.value = reader.TakeNumber<double>("a number");
  set.baseRevision = ParseBaseRevision(reader);
  return set;
}

DrainCommand ParseDrain(WordReader& reader, bool drained)
{
  DrainCommand drain;
  drain.drained = drained;
  reader.Expect("endpoint");
  drain.endpoint = reader.Take("an endpoint's name").text;
  drain.baseRevision = ParseBaseRevision(reader);
  return drain;
}

OrderCommand ParseOrder(WordReader& reader)
{
  OrderCommand order;
  reader.Expect("endpoint");
  order.endpoint = reader.Take("an endpoint's name").text;
  order.what = reader.TakeOneOf("an order", Orders);
  order.name = reader.Take("a name").text;
  return order;
}

RolloutCommand ParseRollout(WordReader& reader)
{
  RolloutCommand rollout;
  reader.Expect("group");
  rollout.group = reader.Take("a group's name").text;
  reader.Expect("version");
  rollout.version = reader.Take("a version").text;
  reader.Expect("ready");
  rollout.minReady =
    reader.TakeNumber<std::uint32_t>("how many endpoints stay ready");
  rollout.baseRevision = ParseBaseRevision(reader);
  return rollout;
}

ReplaceCommand ParseReplace(WordReader& reader)
{
  ReplaceCommand replace;
  reader.Expect("box");
  replace.lost = reader.Take("the lost box's name").text;
  reader.Expect("with");
  replace.spare = reader.Take("the name of the box that takes its place").text;
  return replace;
}

StopRolloutCommand ParseStop(WordReader& reader)
{
  StopRolloutCommand stop;
  reader.Expect("rollout");
  stop.group = reader.Take("a group's name").text;
  stop.baseRevision = ParseBaseRevision(reader);
  return stop;
}

Command ParseVerb(WordReader& reader)
{
  if (reader.NextIs("found")) {
    reader.Expect("found");
    reader.Expect("cluster");
    return FoundCommand{};
  }
  const std::string verb = reader.TakeOneOf("a command", Verbs);
  if (verb == "show") {
    return ParseShow(reader);
  }
  if (verb == "explain") {
    reader.Expect("request");
    return ExplainCommand{ reader.Take("a request's id").text };
  }
  if (verb == "set") {
    return ParseSet(reader);
  }
  if (verb == "drain" || verb == "undrain") {
    return ParseDrain(reader, verb == "drain");
  }
  if (verb == "apply") {
    const std::string file = reader.Take("a file's name").text;
    return ApplyCommand{ file, ParseBaseRevision(reader) };
  }
  if (verb == "order") {
    return ParseOrder(reader);
  }
  if (verb == "rollout") {
    return ParseRollout(reader);
  }
  if (verb == "stop") {
    return ParseStop(reader);
  }
  if (verb == "replace") {
    return ParseReplace(reader);
  }
  if (verb == "evacuate" || verb == "return") {
    return HallCommand{ reader.Take("a hall's name").text,
                        verb == "evacuate" };
  }
  reader.Expect("revision");
  return WaitCommand{ reader.TakeNumber<std::uint64_t>("a revision") };
}

} // namespace

std::variant<Command, LanguageError> ParseCommand(absl::string_view text)
{
  std::size_t stoppedAt = 0;
  auto words = SplitWords(text, stoppedAt);
  if (!words) {
    return LanguageError{ stoppedAt,
                          "This can't be read as a word; close the quotes or "
                          "remove it." };
  }
  WordReader reader(std::move(*words), text.size());
  try {
    Command command = ParseVerb(reader);
    reader.ExpectEnd();
    return command;
  } catch (Wrong& wrong) {
    return std::move(wrong.error);
  }
}

std::vector<std::string> CompleteCommand(absl::string_view text)
{
  std::size_t stoppedAt = 0;
  const auto words = SplitWords(text, stoppedAt);
  if (!words) {
    return {};
  }
  if (words->empty()) {
    return { Verbs.begin(), Verbs.end() };
  }
  const std::string& verb = words->front().text;
  const std::size_t count = words->size();
  if (verb == "show") {
    if (count == 1) {
      return { Tables.begin(), Tables.end() };
    }
    return { "by", "where", "and", "order" };
  }
  if (verb == "set") {
    if (count == 1) {
      return { "account" };
    }
    return count == 3 ? std::vector<std::string>{ AccountFields.begin(),
                                                  AccountFields.end() }
                      : std::vector<std::string>{};
  }
  if (count == 1 &&
      (verb == "drain" || verb == "undrain" || verb == "order")) {
    return { "endpoint" };
  }
  if (verb == "order" && count == 3) {
    return { Orders.begin(), Orders.end() };
  }
  if (count == 1 && verb == "explain") {
    return { "request" };
  }
  if (count == 1 && verb == "rollout") {
    return { "group" };
  }
  if (count == 1 && verb == "replace") {
    return { "box" };
  }
  if (count == 1 && verb == "stop") {
    return { "rollout" };
  }
  return count == 1 && verb == "wait" ? std::vector<std::string>{ "revision" }
                                      : std::vector<std::string>{};
}

} // namespace wg
