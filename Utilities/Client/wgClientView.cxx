// SPDX-License-Identifier: Apache-2.0
#include "wgClientView.h"

#include <algorithm>
#include <map>
#include <set>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

#include "wgConfigText.h"

namespace wg {
namespace {

using Json = nlohmann::json;

std::string CellText(const Json& cell)
{
  if (cell.is_string()) {
    return cell.get<std::string>();
  }
  if (cell.is_number_float()) {
    return absl::StrFormat("%.3f", cell.get<double>());
  }
  return cell.dump();
}

/** Numbers compare as numbers, all else as text. */
bool Matches(const Json& cell, const Filter& filter)
{
  double wanted = 0.0;
  int order = 0;
  if (cell.is_number() && absl::SimpleAtod(filter.value, &wanted)) {
    const double value = cell.get<double>();
    order = value < wanted ? -1 : (value > wanted ? 1 : 0);
  } else {
    order = CellText(cell).compare(filter.value);
  }
  switch (filter.comparison) {
    case Comparison::Equal:
      return order == 0;
    case Comparison::NotEqual:
      return order != 0;
    case Comparison::Less:
      return order < 0;
    case Comparison::LessOrEqual:
      return order <= 0;
    case Comparison::Greater:
      return order > 0;
    case Comparison::GreaterOrEqual:
      break;
  }
  return order >= 0;
}

/** What the field that names a row of a table is. */
std::string IdentityField(const std::string& table)
{
  const std::map<std::string, std::string> fields = {
    { "endpoints", "endpoint" }, { "groups", "group" },
    { "accounts", "account" },   { "boxes", "box" },
    { "requests", "request" },   { "replicas", "box" },
    { "rollouts", "group" },     { "halls", "hall" }
  };
  auto found = fields.find(table);
  return found == fields.end() ? std::string() : found->second;
}

/** Boxes of the configuration that no server has heard of: they have no
 * revision in force, as far as anyone knows.
 */
void AddUnheardBoxes(const Json& status, Json& rows)
{
  const auto config = ReadConfig(status.value("config", ""));
  if (!Succeeded(config)) {
    return;
  }
  for (const BoxConfig& box : Value(config).boxes) {
    const bool heard =
      std::any_of(rows.begin(), rows.end(), [&box](const Json& row) {
        return row.value("box", "") == box.name;
      });
    if (!heard) {
      rows.push_back({ { "box", box.name },
                       { "hall", box.hall },
                       { "state", "never_heard" },
                       { "revision", 0 },
                       { "told_by", status.value("box", "") },
                       { "age_ms", status.value("age_ms", 0) } });
    }
  }
}

/** Rows of one table from every server that has it, each told by whom. */
Json GatherRows(const std::string& table, const std::vector<Json>& statuses)
{
  Json rows = Json::array();
  for (const Json& status : statuses) {
    if (table == "replicas") {
      if (status.value("role", "") == "control") {
        Json row = status;
        for (const char* nested : { "voters", "learners", "boxes", "rollouts",
                                    "halls", "config" }) {
          row.erase(nested);
        }
        rows.push_back(std::move(row));
      }
      continue;
    }
    if (!status.contains(table) || !status[table].is_array()) {
      continue;
    }
    for (Json row : status[table]) {
      row["told_by"] = status.value("box", "");
      if (!row.contains("age_ms")) {
        row["age_ms"] = status.value("age_ms", 0);
      }
      rows.push_back(std::move(row));
    }
  }
  for (const Json& status : statuses) {
    if (table == "boxes") {
      AddUnheardBoxes(status, rows);
    }
  }
  return rows;
}

/** Of what several servers say of one box, the freshest is kept. */
Json KeepFreshest(const Json& rows, const std::string& identity)
{
  std::map<std::string, Json> freshest;
  for (const Json& row : rows) {
    const std::string name = row.value(identity, "");
    auto [found, isNew] = freshest.emplace(name, row);
    const bool fresher =
      row.value("age_ms", 0) < found->second.value("age_ms", 0);
    if (!isNew && fresher) {
      found->second = row;
    }
  }
  Json kept = Json::array();
  for (auto& [name, row] : freshest) {
    kept.push_back(std::move(row));
  }
  return kept;
}

/** Adds up the numbers of the rows that share a field's value. */
Json SumBy(const Json& rows, const std::string& field)
{
  std::map<std::string, Json> sums;
  for (const Json& row : rows) {
    Json& sum = sums[CellText(row[field])];
    sum[field] = row[field];
    for (const auto& [key, value] : row.items()) {
      if (!value.is_number() || key == field) {
        continue;
      }
      const double before = sum.value(key, 0.0);
      const bool isAge = key == "age_ms"; // as old as its oldest part
      sum[key] = isAge ? std::max(before, value.get<double>())
                       : before + value.get<double>();
    }
  }
  Json result = Json::array();
  for (auto& [name, sum] : sums) {
    result.push_back(std::move(sum));
  }
  return result;
}

Outcome<Done> CheckField(const Json& rows, const std::string& field)
{
  if (rows.empty() || field.empty() || rows.front().contains(field)) {
    return Done{};
  }
  std::string known;
  for (const auto& [key, value] : rows.front().items()) {
    absl::StrAppend(&known, known.empty() ? "" : ", ", key);
  }
  return Error{ absl::StrCat("The table has no field \"", field, "\"; it has ",
                             known, ".") };
}

} // namespace

Outcome<Json> SelectRows(const ShowCommand& show,
                         const std::vector<Json>& statuses)
{
  Json rows = GatherRows(show.table, statuses);
  if (show.table == "boxes" || show.table == "halls") {
    rows = KeepFreshest(rows, IdentityField(show.table));
  }
  std::vector<std::string> fields = { show.groupBy, show.orderBy };
  for (const Filter& filter : show.filters) {
    fields.push_back(filter.field);
  }
  for (const std::string& field : fields) {
    if (auto checked = CheckField(rows, field); !Succeeded(checked)) {
      return Error{ Message(checked) };
    }
  }
  Json selected = Json::array();
  for (const Json& row : rows) {
    const bool matches = std::all_of(
      show.filters.begin(), show.filters.end(), [&row](const Filter& filter) {
        return Matches(row.value(filter.field, Json()), filter);
      });
    if (matches) {
      selected.push_back(row);
    }
  }
  if (!show.groupBy.empty()) {
    selected = SumBy(selected, show.groupBy);
  }
  const std::string order =
    show.orderBy.empty()
      ? (show.groupBy.empty() ? IdentityField(show.table) : show.groupBy)
      : show.orderBy;
  std::stable_sort(selected.begin(), selected.end(),
                   [&order](const Json& a, const Json& b) {
                     return a.value(order, Json()) < b.value(order, Json());
                   });
  return selected;
}

std::string PrintTable(const Json& rows)
{
  if (rows.empty()) {
    return "(none)\n";
  }
  std::vector<std::string> columns;
  for (const auto& [key, value] : rows.front().items()) {
    if (!value.is_structured()) {
      columns.push_back(key);
    }
  }
  std::map<std::string, std::size_t> widths;
  for (const std::string& column : columns) {
    widths[column] = column.size();
    for (const Json& row : rows) {
      widths[column] =
        std::max(widths[column], CellText(row.value(column, Json())).size());
    }
  }
  std::string out;
  for (const std::string& column : columns) {
    absl::StrAppendFormat(&out, "%-*s  ", static_cast<int>(widths[column]),
                          column);
  }
  out += "\n";
  for (const Json& row : rows) {
    for (const std::string& column : columns) {
      absl::StrAppendFormat(&out, "%-*s  ", static_cast<int>(widths[column]),
                            CellText(row.value(column, Json())));
    }
    out += "\n";
  }
  return out;
}

std::string PrintExplanation(const Json& request)
{
  std::string out = absl::StrFormat(
    "Request %s of account %s through pipeline %s: %s, %d ms, reason %s.\n",
    request.value("request", ""), request.value("account", ""),
    request.value("pipeline", ""), request.value("state", ""),
    request.value("took_ms", 0), request.value("reason", ""));
  for (const Json& attempt : request.value("attempts", Json::array())) {
    absl::StrAppendFormat(
      &out, "  %s, attempt %d: waited %.1f ms, ran %.1f ms at %s: %s.",
      attempt.value("group", ""), attempt.value("attempt", 0),
      attempt.value("wait_s", 0.0) * 1000.0,
      attempt.value("run_s", 0.0) * 1000.0, attempt.value("endpoint", ""),
      attempt.value("end", ""));
    out += " Expected finishes compared:";
    for (const Json& candidate : attempt.value("compared", Json::array())) {
      absl::StrAppendFormat(&out, " %s %.1f ms",
                            candidate.value("endpoint", ""),
                            candidate.value("finish_s", 0.0) * 1000.0);
    }
    out += "\n";
  }
  return out;
}

} // namespace wg
