// SPDX-License-Identifier: Apache-2.0
#include "wgConfigText.h"

#include <sstream>

#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

#include "absl/strings/str_cat.h"

namespace wg {
namespace {

/** Collects the first error while typed values are taken from tables. */
class TableReader
{
public:
  TableReader(const toml::table& table, std::string place,
              std::string& firstError)
    : table_(table)
    , place_(std::move(place))
    , firstError_(firstError)
  {
  }

  template <class T>
  void Read(absl::string_view key, T& target, absl::string_view typeName)
  {
    known_.emplace_back(key);
    const toml::node* node =
      table_.get(std::string_view(key.data(), key.size()));
    if (node == nullptr) {
      return;
    }
    if (auto value = node->value_exact<T>()) {
      target = std::move(*value);
      return;
    }
    Fail(*node, absl::StrCat("\"", key, "\" must be ", typeName, "."));
  }

  void ReadText(absl::string_view key, std::string& target)
  {
    Read<std::string>(key, target, "a string");
  }

  void ReadBool(absl::string_view key, bool& target)
  {
    Read<bool>(key, target, "true or false");
  }

  void ReadInt(absl::string_view key, int& target)
  {
    std::int64_t wide = target;
    Read<std::int64_t>(key, wide, "a whole number");
    if (wide < INT32_MIN || wide > INT32_MAX) {
      Fail(table_, absl::StrCat("\"", key, "\" is out of range."));
      return;
    }
    target = static_cast<int>(wide);
  }

  void ReadNumber(absl::string_view key, double& target)
  {
    known_.emplace_back(key);
    const toml::node* node =
      table_.get(std::string_view(key.data(), key.size()));
    if (node == nullptr) {
      return;
    }
    if (auto value = node->value<double>(); value && node->is_number()) {
      target = *value;
      return;
    }
    Fail(*node, absl::StrCat("\"", key, "\" must be a number."));
  }

  void ReadTexts(absl::string_view key, std::vector<std::string>& target)
  {
    known_.emplace_back(key);
    const toml::node* node =
      table_.get(std::string_view(key.data(), key.size()));
    const toml::array* array = node ? node->as_array() : nullptr;
    if (array == nullptr || !array->is_homogeneous<std::string>()) {
      Fail(node ? *node : static_cast<const toml::node&>(table_),
           absl::StrCat("\"", key, "\" must be a list of strings."));
      return;
    }
    for (const auto& element : *array) {
      target.push_back(*element.value<std::string>());
    }
  }

  /** A key that nothing asked for is most often a slip of the pen. */
  void RefuseUnknown()
  {
    for (const auto& [key, node] : table_) {
      const std::string name(key.str());
      if (std::find(known_.begin(), known_.end(), name) == known_.end()) {
        Fail(node, absl::StrCat("the key \"", name,
                                "\" is not known; remove or correct it."));
      }
    }
  }

  void Fail(const toml::node& node, const std::string& rule)
  {
    if (firstError_.empty()) {
      const auto at = node.source().begin;
      firstError_ = absl::StrCat("Line ", at.line, ", column ", at.column,
                                 ", in ", place_, ": ", rule);
    }
  }

private:
  const toml::table& table_;
  std::string place_;
  std::string& firstError_;
  std::vector<std::string> known_;
};

/** Reads every table of an array of tables with the given function. */
template <class Item, class ReadItem>
void ReadEach(const toml::table& root, absl::string_view key,
              std::vector<Item>& items, std::string& firstError,
              ReadItem readItem)
{
  const toml::node* node = root.get(std::string_view(key.data(), key.size()));
  if (node == nullptr) {
    return;
  }
  const toml::array* array = node->as_array();
  if (array == nullptr || !array->is_homogeneous<toml::table>()) {
    TableReader(root, "the file", firstError)
      .Fail(*node, absl::StrCat("\"", key, "\" must be written as [[", key,
                                "]] tables."));
    return;
  }
  for (const auto& element : *array) {
    TableReader reader(*element.as_table(), absl::StrCat("[[", key, "]]"),
                       firstError);
    Item item;
    reader.ReadText("name", item.name);
    readItem(reader, item);
    reader.RefuseUnknown();
    items.push_back(std::move(item));
  }
}

void ReadKind(TableReader& reader, StageKind& kind, std::string& firstError)
{
  std::string text(Name(kind));
  reader.ReadText("kind", text);
  for (int i = 0; i <= static_cast<int>(StageKind::Service); ++i) {
    if (Name(static_cast<StageKind>(i)) == text) {
      kind = static_cast<StageKind>(i);
      return;
    }
  }
  if (firstError.empty()) {
    firstError = absl::StrCat("The group kind \"", text,
                              "\" is none of encode, retrieve, rerank, "
                              "generate and service; use one of them.");
  }
}

void RefuseUnknownTables(const toml::table& root, std::string& firstError)
{
  constexpr std::array<std::string_view, 8> known = { "hall",     "link",
                                                      "box",      "group",
                                                      "endpoint", "pipeline",
                                                      "account",  "rollout" };
  for (const auto& [key, node] : root) {
    if (std::find(known.begin(), known.end(), key.str()) == known.end()) {
      TableReader(root, "the file", firstError)
        .Fail(node,
              absl::StrCat("\"", std::string(key.str()),
                           "\" is none of hall, link, box, group, endpoint, "
                           "pipeline, account and rollout."));
    }
  }
}

std::string Quote(const std::string& text)
{
  std::ostringstream out;
  out << toml::value<std::string>(text);
  return out.str();
}

} // namespace

Outcome<Config> ReadConfig(absl::string_view text)
{
  toml::parse_result parsed =
    toml::parse(std::string_view(text.data(), text.size()));
  if (!parsed) {
    const auto at = parsed.error().source().begin;
    return Error{ absl::StrCat("Line ", at.line, ", column ", at.column, ": ",
                               std::string(parsed.error().description()),
                               ".") };
  }
  const toml::table& root = parsed.table();
  Config config;
  std::string error;
  RefuseUnknownTables(root, error);
  ReadEach(root, "hall", config.halls, error,
           [](TableReader&, HallConfig&) {});
  ReadEach(root, "link", config.links, error,
           [](TableReader& reader, LinkConfig& l) {
             reader.ReadTexts("between", l.between);
             reader.ReadNumber("one_way_ms", l.oneWayMs);
           });
  ReadEach(root, "box", config.boxes, error,
           [](TableReader& reader, BoxConfig& b) {
             reader.ReadText("hall", b.hall);
           });
  ReadEach(root, "group", config.groups, error,
           [&error](TableReader& reader, GroupConfig& g) {
             ReadKind(reader, g.kind, error);
             reader.ReadBool("repeatable", g.repeatable);
             reader.ReadInt("expected_ms", g.expectedMs);
           });
  ReadEach(root, "endpoint", config.endpoints, error,
           [](TableReader& reader, EndpointConfig& e) {
             reader.ReadText("group", e.group);
             reader.ReadText("hall", e.hall);
             reader.ReadText("address", e.address);
             reader.ReadInt("port", e.port);
             reader.ReadInt("slots", e.slots);
             reader.ReadBool("checks_fence", e.checksFence);
             reader.ReadBool("drained", e.drained);
           });
  ReadEach(root, "pipeline", config.pipelines, error,
           [](TableReader& reader, PipelineConfig& p) {
             reader.ReadTexts("stages", p.stages);
             reader.ReadInt("deadline_ms", p.deadlineMs);
             reader.ReadBool("repeatable", p.repeatable);
           });
  ReadEach(root, "account", config.accounts, error,
           [](TableReader& reader, AccountConfig& a) {
             reader.ReadText("key", a.key);
             reader.ReadNumber("weight", a.weight);
             reader.ReadInt("top_priority", a.topPriority);
             reader.ReadNumber("rate_per_second", a.ratePerSecond);
             reader.ReadInt("concurrency", a.concurrency);
           });
  ReadEach(root, "rollout", config.rollouts, error,
           [](TableReader& reader, RolloutConfig& r) {
             reader.ReadText("version", r.version);
             reader.ReadInt("min_ready", r.minReady);
             reader.ReadText("current", r.current);
             reader.ReadBool("keep_drained", r.keepDrained);
           });
  if (!error.empty()) {
    return Error{ error };
  }
  if (auto checked = CheckConfig(config); !Succeeded(checked)) {
    return Error{ Message(checked) };
  }
  return config;
}

std::string PrintConfig(const Config& config)
{
  std::string out;
  for (const auto& h : config.halls) {
    absl::StrAppend(&out, "[[hall]]\nname = ", Quote(h.name), "\n\n");
  }
  for (const auto& l : config.links) {
    absl::StrAppend(&out, "[[link]]\nname = ", Quote(l.name), "\nbetween = [",
                    Quote(l.between[0]), ", ", Quote(l.between[1]),
                    "]\none_way_ms = ", l.oneWayMs, "\n\n");
  }
  for (const auto& b : config.boxes) {
    absl::StrAppend(&out, "[[box]]\nname = ", Quote(b.name),
                    "\nhall = ", Quote(b.hall), "\n\n");
  }
  for (const auto& g : config.groups) {
    absl::StrAppend(&out, "[[group]]\nname = ", Quote(g.name), "\nkind = \"",
                    Name(g.kind),
                    "\"\nrepeatable = ", g.repeatable ? "true" : "false",
                    "\nexpected_ms = ", g.expectedMs, "\n\n");
  }
  for (const auto& e : config.endpoints) {
    absl::StrAppend(&out, "[[endpoint]]\nname = ", Quote(e.name),
                    "\ngroup = ", Quote(e.group), "\nhall = ", Quote(e.hall),
                    "\naddress = ", Quote(e.address), "\nport = ", e.port,
                    "\nslots = ", e.slots);
    absl::StrAppend(&out,
                    "\nchecks_fence = ", e.checksFence ? "true" : "false",
                    "\ndrained = ", e.drained ? "true" : "false", "\n\n");
  }
  for (const auto& p : config.pipelines) {
    absl::StrAppend(&out, "[[pipeline]]\nname = ", Quote(p.name),
                    "\nstages = [");
    for (std::size_t i = 0; i < p.stages.size(); ++i) {
      absl::StrAppend(&out, i == 0 ? "" : ", ", Quote(p.stages[i]));
    }
    absl::StrAppend(&out, "]\ndeadline_ms = ", p.deadlineMs,
                    "\nrepeatable = ", p.repeatable ? "true" : "false",
                    "\n\n");
  }
  for (const auto& a : config.accounts) {
    absl::StrAppend(&out, "[[account]]\nname = ", Quote(a.name),
                    "\nkey = ", Quote(a.key), "\nweight = ", a.weight,
                    "\ntop_priority = ", a.topPriority);
    absl::StrAppend(&out, "\nrate_per_second = ", a.ratePerSecond,
                    "\nconcurrency = ", a.concurrency, "\n\n");
  }
  for (const auto& r : config.rollouts) {
    absl::StrAppend(&out, "[[rollout]]\nname = ", Quote(r.name),
                    "\nversion = ", Quote(r.version),
                    "\nmin_ready = ", r.minReady);
    absl::StrAppend(&out, "\ncurrent = ", Quote(r.current),
                    "\nkeep_drained = ", r.keepDrained ? "true" : "false",
                    "\n\n");
  }
  return out;
}

} // namespace wg
