// SPDX-License-Identifier: Apache-2.0
#include "wgClientCalls.h"
#include "wgClientView.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>

#include <tclap/CmdLine.h>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"

#include "wgConfigText.h"
#include "wgEndpointOrder.h"
#include "wgLanguage.h"
#include "wgServiceState.h"

namespace {

using Json = nlohmann::json;

/** The client's exit codes; the operators' page lists them. */
enum ExitCode
{
  ExitDone = 0,
  ExitRefused = 1,
  ExitBadCommand = 2,
  ExitUnavailable = 3,
  ExitNotYet = 4
};

constexpr absl::Duration WaitPoll = absl::Milliseconds(100);

/** Runs one command against the servers. */
class CommandRunner
{
public:
  CommandRunner(wg::ClientSettings settings, bool json, std::string changeId)
    : settings_(std::move(settings))
    , json_(json)
    , changeId_(std::move(changeId))
    , client_(settings_.key, settings_.operatorName)
  {
  }

  int operator()(const wg::ShowCommand& show)
  {
    const auto statuses = wg::FetchStatuses(client_, settings_);
    if (statuses.empty()) {
      return NobodyAnswers();
    }
    if (show.table == "config") {
      return ShowConfig(statuses);
    }
    auto rows = wg::SelectRows(show, statuses);
    if (!wg::Succeeded(rows)) {
      std::cerr << wg::Message(rows) << "\n";
      return ExitBadCommand;
    }
    std::cout << (json_ ? wg::Value(rows).dump(2) + "\n"
                        : wg::PrintTable(wg::Value(rows)));
    return ExitDone;
  }

  int operator()(const wg::ExplainCommand& explain)
  {
    const auto statuses = wg::FetchStatuses(client_, settings_);
    if (statuses.empty()) {
      return NobodyAnswers();
    }
    for (const Json& status : statuses) {
      for (const Json& request : status.value("requests", Json::array())) {
        if (request.value("request", "").rfind(explain.request, 0) == 0) {
          std::cout << (json_ ? request.dump(2) + "\n"
                              : wg::PrintExplanation(request));
          return ExitDone;
        }
      }
    }
    std::cerr << "No server remembers a request whose id starts with \""
              << explain.request << "\"; ask the entry that took it.\n";
    return ExitRefused;
  }

  int operator()(const wg::SetAccountCommand& set)
  {
    wg::wire::Change change;
    change.set_base_revision(set.baseRevision);
    change.mutable_set_account()->set_account(set.account);
    change.mutable_set_account()->set_field(set.field);
    change.mutable_set_account()->set_value(set.value);
    return Propose(std::move(change));
  }

  int operator()(const wg::DrainCommand& drain)
  {
    wg::wire::Change change;
    change.set_base_revision(drain.baseRevision);
    change.mutable_set_drained()->set_endpoint(drain.endpoint);
    change.mutable_set_drained()->set_drained(drain.drained);
    return Propose(std::move(change));
  }

  /** Based on the order that holds now: two operators do not undo each
   * other's by chance, and a resend of this one changes nothing.
   */
  int operator()(const wg::HallCommand& command)
  {
    std::uint64_t seen = 0;
    for (const Json& status : wg::FetchStatuses(client_, settings_)) {
      for (const Json& row : status.value("halls", Json::array())) {
        if (row.value("hall", "") == command.hall) {
          seen = std::max(seen, row.value("number", std::uint64_t{ 0 }));
        }
      }
    }
    wg::wire::Change change;
    change.mutable_order_hall()->set_hall(command.hall);
    change.mutable_order_hall()->set_evacuate(command.evacuate);
    change.mutable_order_hall()->set_seen(seen);
    return Propose(std::move(change));
  }

  int operator()(const wg::ApplyCommand& apply)
  {
    std::ifstream file(apply.file);
    if (!file) {
      std::cerr << "Cannot read " << apply.file << "; check its name.\n";
      return ExitBadCommand;
    }
    const std::string text(std::istreambuf_iterator<char>(file), {});
    auto checked = wg::ReadConfig(text);
    if (!wg::Succeeded(checked)) {
      std::cerr << apply.file << ": " << wg::Message(checked) << "\n";
      return ExitBadCommand;
    }
    wg::wire::Change change;
    change.set_base_revision(apply.baseRevision);
    change.mutable_apply()->set_toml(text);
    return Propose(std::move(change));
  }

  int operator()(const wg::WaitCommand& wait)
  {
    const absl::Time end = absl::Now() + settings_.timeout;
    Json behind = Json::array();
    do {
      const auto statuses = wg::FetchStatuses(client_, settings_);
      auto rows = wg::SelectRows({ "boxes", "", {}, "" }, statuses);
      behind = Json::array();
      for (const Json& row : wg::Value(rows)) {
        if (row.value("revision", std::uint64_t{ 0 }) < wait.revision) {
          behind.push_back(row);
        }
      }
      if (!wg::Value(rows).empty() && behind.empty()) {
        std::cout << "Revision " << wait.revision
                  << " is in force on every box that is known.\n";
        return ExitDone;
      }
      absl::SleepFor(WaitPoll);
    } while (absl::Now() < end);
    std::cerr << "Revision " << wait.revision << " is not yet in force on:\n"
              << wg::PrintTable(behind);
    return ExitNotYet;
  }

  int operator()(const wg::OrderCommand& order)
  {
    const auto statuses = wg::FetchStatuses(client_, settings_);
    for (const Json& status : statuses) {
      auto config = wg::ReadConfig(status.value("config", ""));
      if (status.value("role", "") != "control" || !wg::Succeeded(config)) {
        continue;
      }
      const wg::EndpointConfig* endpoint =
        wg::FindEndpoint(wg::Value(config), order.endpoint);
      if (endpoint != nullptr) {
        return GiveOrder(*endpoint, order);
      }
    }
    std::cerr << "No control box knows the endpoint \"" << order.endpoint
              << "\".\n";
    return ExitRefused;
  }

  int operator()(const wg::RolloutCommand& rollout)
  {
    wg::wire::Change change;
    change.set_base_revision(rollout.baseRevision);
    change.mutable_start_rollout()->set_group(rollout.group);
    change.mutable_start_rollout()->set_version(rollout.version);
    change.mutable_start_rollout()->set_min_ready(rollout.minReady);
    return Propose(std::move(change));
  }

  int operator()(const wg::StopRolloutCommand& stop)
  {
    wg::wire::Change change;
    change.set_base_revision(stop.baseRevision);
    change.mutable_stop_rollout()->set_group(stop.group);
    return Propose(std::move(change));
  }

  int operator()(const wg::ReplaceCommand& replace)
  {
    wg::wire::Change change;
    change.mutable_replace_box()->set_lost(replace.lost);
    change.mutable_replace_box()->set_spare(replace.spare);
    return Propose(std::move(change));
  }

  int operator()(const wg::FoundCommand&)
  {
    return Report(wg::SendFound(client_, settings_), "The cluster is founded");
  }

private:
  int NobodyAnswers()
  {
    std::cerr << "None of the servers answers to this operator; check "
              << "--servers, --operator and the key.\n";
    return ExitUnavailable;
  }

  int ShowConfig(const std::vector<Json>& statuses)
  {
    for (const Json& status : statuses) {
      if (status.contains("config")) {
        std::cout << "# revision " << status.value("revision", 0) << ", told "
                  << "by " << status.value("box", "") << ", "
                  << status.value("age_ms", 0) << " ms old\n"
                  << status.value("config", "");
        return ExitDone;
      }
    }
    std::cerr << "No control box answers; give one with --servers.\n";
    return ExitUnavailable;
  }

  int Propose(wg::wire::Change change)
  {
    change.set_id(changeId_.empty() ? wg::MakeChangeId() : changeId_);
    return Report(wg::SendChange(client_, settings_, change), "Accepted");
  }

  /** The fence is raised by the quorum first: an order under it is newer
   * than all that were given before.
   */
  int GiveOrder(const wg::EndpointConfig& endpoint,
                const wg::OrderCommand& order)
  {
    if (!endpoint.checksFence) {
      std::cerr << "The endpoint \"" << endpoint.name << "\" does not check "
                << "fences, so a late order could undo a newer one; it is "
                << "not given orders.\n";
      return ExitRefused;
    }
    wg::wire::Change change;
    change.set_id(wg::MakeChangeId());
    change.mutable_raise_fence()->set_endpoint(endpoint.name);
    change.mutable_raise_fence()->set_order(order.what + " " + order.name);
    const wg::wire::ChangeResult raised =
      wg::SendChange(client_, settings_, change);
    if (raised.verdict() != wg::wire::ChangeResult::ACCEPTED) {
      return Report(raised, "");
    }
    auto sent = wg::SendOrder({ endpoint.address, endpoint.port },
                              { raised.fence(), order.what, order.name },
                              settings_.timeout);
    if (!wg::Succeeded(sent)) {
      std::cerr << wg::Message(sent) << "\n";
      return ExitUnavailable;
    }
    std::cout << "Done under fence " << raised.fence() << ".\n";
    return ExitDone;
  }

  int Report(const wg::wire::ChangeResult& result, const std::string& done)
  {
    using Result = wg::wire::ChangeResult;
    const bool accepted = result.verdict() == Result::ACCEPTED;
    if (json_) {
      std::cout << Json{
        { "accepted", accepted },
        { "revision", result.revision() },
        { "message", result.message() }
      }.dump() << "\n";
    } else if (accepted) {
      std::cout << done << ", revision " << result.revision() << ".\n";
    } else {
      std::cerr << "Not done: " << result.message() << "\n";
    }
    if (accepted) {
      return ExitDone;
    }
    return result.verdict() == Result::REJECTED ? ExitRefused
                                                : ExitUnavailable;
  }

  wg::ClientSettings settings_;
  bool json_;
  std::string changeId_;
  wg::PeerClient client_;
};

std::string Environment(const char* name, const char* fallback)
{
  const char* value = std::getenv(name);
  return value == nullptr ? fallback : value;
}

void PointAt(const std::string& text, const wg::LanguageError& error)
{
  std::cerr << text << "\n"
            << std::string(error.position, ' ') << "^\n"
            << error.message << "\n";
}

} // namespace

int main(int argc, char** argv)
{
  TCLAP::CmdLine line(
    "Asks weirgate what is happening and changes what "
    "should happen. Commands: show, explain, set, drain, "
    "undrain, apply, wait, order, rollout, stop, replace, evacuate, "
    "return, found.",
    ' ', WG_VERSION);
  TCLAP::ValueArg<std::string> servers(
    "", "servers",
    "peer addresses of entry or control boxes, separated by "
    "commas (WEIRGATE_SERVERS)",
    false, Environment("WEIRGATE_SERVERS", ""), "addresses", line);
  TCLAP::ValueArg<std::string> name(
    "", "operator",
    "who you are (WEIRGATE_OPERATOR); the key is taken from "
    "WEIRGATE_OPERATOR_KEY",
    false, Environment("WEIRGATE_OPERATOR", "peer"), "name", line);
  TCLAP::ValueArg<std::string> output("", "output", "table or json", false,
                                      "table", "format", line);
  TCLAP::ValueArg<int> timeout("", "timeout-ms", "how long to try", false,
                               5000, "ms", line);
  TCLAP::ValueArg<std::string> id("", "id",
                                  "of the change, to resend one "
                                  "whose answer was lost",
                                  false, "", "id", line);
  TCLAP::SwitchArg complete("", "complete", "print the words that may follow",
                            line);
  TCLAP::UnlabeledMultiArg<std::string> words("command", "the command", false,
                                              "words", line);
  line.parse(argc, argv);
  const std::string text = absl::StrJoin(words.getValue(), " ");
  if (complete.getValue()) {
    for (const std::string& word : wg::CompleteCommand(text)) {
      std::cout << word << "\n";
    }
    return ExitDone;
  }
  auto parsed = wg::ParseCommand(text);
  if (auto* error = std::get_if<wg::LanguageError>(&parsed)) {
    PointAt(text, *error);
    return ExitBadCommand;
  }
  wg::ClientSettings settings;
  settings.servers =
    absl::StrSplit(servers.getValue(), ',', absl::SkipEmpty());
  settings.operatorName = name.getValue();
  settings.key = Environment("WEIRGATE_OPERATOR_KEY", "");
  settings.timeout = absl::Milliseconds(timeout.getValue());
  if (settings.servers.empty()) {
    std::cerr << "--servers must name at least one box.\n";
    return ExitBadCommand;
  }
  CommandRunner runner(std::move(settings), output.getValue() == "json",
                       id.getValue());
  return std::visit([&runner](const auto& command) { return runner(command); },
                    std::get<wg::Command>(parsed));
}
