// SPDX-License-Identifier: Apache-2.0
#include "wgTestCluster.h"

#include <cerrno>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <stdexcept>

#include <fcntl.h>
#include <httplib.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/strip.h"
#include "absl/time/clock.h"

#include "wgServiceState.h"
#include "wgSocket.h"

extern char** environ;

namespace wg::test {
namespace {

using Json = nlohmann::json;

constexpr const char* PeerKey = "test-peer-key";
constexpr const char* OperatorKey = "test-operator-key";
constexpr const char* Operator = "tester";
constexpr absl::Duration Poll = absl::Milliseconds(20);
constexpr std::size_t AnswerTokens = 12;
constexpr std::size_t PieceCharacters = 4;

std::string Address(int port)
{
  return absl::StrCat("127.0.0.1:", port);
}

} // namespace

bool WaitFor(const std::function<bool()>& condition, absl::Duration limit)
{
  const absl::Time end = absl::Now() + limit;
  while (!condition()) {
    if (absl::Now() > end) {
      return false;
    }
    absl::SleepFor(Poll);
  }
  return true;
}

void Await(absl::string_view what, const std::function<bool()>& condition)
{
  if (!WaitFor(condition)) {
    throw std::runtime_error(absl::StrCat("Not seen in time: ", what, "."));
  }
}

Process::Process(std::vector<std::string> arguments,
                 const std::string& logFile)
{
  std::vector<char*> argv;
  for (std::string& argument : arguments) {
    argv.push_back(argument.data());
  }
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 1, logFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  // Else it holds the sockets of the test's endpoints, which it may outlive.
  posix_spawn_file_actions_addclosefrom_np(&actions, 3);
  if (posix_spawn(&pid_, argv[0], &actions, nullptr, argv.data(), environ) !=
      0) {
    pid_ = -1;
    ended_ = true;
  }
  posix_spawn_file_actions_destroy(&actions);
}

Process::~Process()
{
  Kill();
}

void Process::Signal(int number) const
{
  if (pid_ > 0 && !ended_) {
    kill(pid_, number);
  }
}

void Process::Kill()
{
  Signal(SIGKILL);
  Wait();
}

int Process::Wait()
{
  if (!ended_) {
    waitpid(pid_, &status_, 0);
    ended_ = true;
  }
  return WIFEXITED(status_) ? WEXITSTATUS(status_) : -1;
}

bool Process::IsRunning()
{
  if (!ended_ && waitpid(pid_, &status_, WNOHANG) == pid_) {
    ended_ = true;
  }
  return !ended_;
}

/** A field of /proc/PID/status. */
long Process::ReadKilobytes(absl::string_view field) const
{
  std::ifstream file(absl::StrCat("/proc/", pid_, "/status"));
  std::string line;
  long kilobytes = 0;
  while (std::getline(file, line)) {
    absl::string_view rest = line;
    if (absl::ConsumePrefix(&rest, absl::StrCat(field, ":"))) {
      absl::ConsumeSuffix(&rest, " kB");
      return absl::SimpleAtoi(rest, &kilobytes) ? kilobytes : 0;
    }
  }
  return 0;
}

long Process::ResidentKilobytes() const
{
  return ReadKilobytes("VmRSS");
}

long Process::PeakKilobytes() const
{
  return ReadKilobytes("VmHWM");
}

double Process::ProcessorSeconds() const
{
  std::ifstream file(absl::StrCat("/proc/", pid_, "/stat"));
  std::string word;
  for (int i = 0; i < 13; ++i) {
    file >> word; // the 14th and 15th are the user's and the system's ticks
  }
  long user = 0;
  long system = 0;
  file >> user >> system;
  return static_cast<double>(user + system) /
         static_cast<double>(sysconf(_SC_CLK_TCK));
}

TestCluster::TestCluster(ClusterLayout layout)
  : layout_(layout)
{
  layout_.voters = std::min(layout_.voters, layout_.controls);
  std::string pattern =
    std::filesystem::temp_directory_path() / "wg-cluster-XXXXXX";
  folder_ = mkdtemp(pattern.data());
  operator_ = std::make_unique<PeerClient>(OperatorKey, Operator);
  StartEndpoints();
  for (int i = 0; i < layout_.controls; ++i) {
    controlPorts_.push_back(ports_.Take());
    wirePorts_.push_back(ports_.Take());
    wires_.push_back(
      std::make_unique<Forwarder>(wirePorts_.back(), controlPorts_.back()));
    controls_.emplace_back();
  }
  for (int i = 0; i < layout_.entries; ++i) {
    entryPorts_.push_back(ports_.Take());
    entryPeerPorts_.push_back(ports_.Take());
    entries_.emplace_back();
  }
  for (int i = 0; i < layout_.controls; ++i) {
    StartControl(i);
  }
  for (int i = 0; i < layout_.entries; ++i) {
    StartEntry(i);
  }
  AwaitEndpoints();
  FoundAndConfigure();
}

/** All endpoints are one process: it listens on every port or on none. */
void TestCluster::AwaitEndpoints()
{
  Await("endpoints that answer", [this] {
    if (!endpoints_->IsRunning()) {
      throw std::runtime_error("The endpoints ended: " + LogOf("endpoints"));
    }
    return Get(endpointLines_.back().port, "/v1/load").is_object();
  });
}

void TestCluster::FoundAndConfigure()
{
  Await("a founded cluster", [this] {
    if (!controls_[0]->IsRunning()) {
      throw std::runtime_error("A control box ended: " + LogOf("control-0"));
    }
    return Succeeded(operator_->CallAndWait(Address(controlPorts_[0]),
                                            "/found", "", absl::Seconds(1)));
  });
  Await("that all control boxes vote",
        [this] { return VoterCount() == layout_.voters; });
  Apply();
  for (int i = 0; i < layout_.entries; ++i) {
    Await("entries that are ready", [this, i] {
      return Get(entryPorts_[Slot(i)], "/readyz").is_string();
    });
  }
}

TestCluster::~TestCluster()
{
  for (auto* list : { &entries_, &controls_ }) {
    for (auto& process : *list) {
      process.reset();
    }
  }
  endpoints_.reset();
  wires_.clear();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void TestCluster::AddEndpoint(const std::string& group,
                              const std::string& kind, const std::string& hall,
                              double ms)
{
  endpointLines_.push_back(
    { absl::StrCat(group, "-", EndpointsOf(group).size() + 1), group, kind,
      hall, ports_.Take(), ms });
}

void TestCluster::StartEndpoints()
{
  const double ms = layout_.stageMs;
  for (int i = 0; i < 2; ++i) {
    AddEndpoint("encode", "encode", i == 0 ? "h1" : "h2", ms);
  }
  AddEndpoint("retrieve", "retrieve", "h1", ms);
  AddEndpoint("rerank", "rerank", "h1", ms);
  for (int i = 0; i < layout_.generators; ++i) {
    AddEndpoint("llm", "generate", i % 2 == 0 ? "h1" : "h2", ms);
  }
  for (int i = 0; i < layout_.services; ++i) {
    AddEndpoint("sms", "service", i % 2 == 0 ? "h1" : "h2", ms);
  }
  std::vector<std::string> arguments = {
    WG_STANDIN, "--lifetime", absl::StrCat(layout_.lifetimeSeconds)
  };
  platformPort_ = ports_.Take();
  arguments.push_back("--platform");
  arguments.push_back(absl::StrCat(platformPort_));
  for (const EndpointLine& line : endpointLines_) {
    arguments.push_back("--serve");
    arguments.push_back(absl::StrCat(line.kind, ":", line.port, ":",
                                     layout_.slots, ":", line.ms));
  }
  endpoints_ = std::make_unique<Process>(arguments, folder_ + "/endpoints");
}

std::string TestCluster::MakeConfig() const
{
  std::string toml = "[[hall]]\nname = \"h1\"\n[[hall]]\nname = \"h2\"\n"
                     "[[account]]\nname = \"a\"\nweight = 1\n"
                     "[[account]]\nname = \"b\"\n";
  for (const auto& [name, kind, repeatable] :
       std::vector<std::tuple<const char*, const char*, const char*>>{
         { "encode", "encode", "true" },
         { "retrieve", "retrieve", "true" },
         { "rerank", "rerank", "true" },
         { "llm", "generate", "true" },
         { "sms", "service", "false" } }) {
    absl::StrAppend(&toml, "[[group]]\nname = \"", name, "\"\nkind = \"", kind,
                    "\"\nrepeatable = ", repeatable, "\nexpected_ms = 10\n");
  }
  for (const std::string& box : boxLines_) {
    absl::StrAppend(&toml, "[[box]]\nname = \"", box, "\"\nhall = \"h1\"\n");
  }
  for (const EndpointLine& line : endpointLines_) {
    absl::StrAppend(&toml, "[[endpoint]]\nname = \"", line.name,
                    "\"\ngroup = \"", line.group, "\"\nhall = \"", line.hall,
                    "\"\naddress = \"127.0.0.1\"\nport = ", line.port,
                    "\nslots = ", layout_.slots, "\nchecks_fence = ",
                    line.group == "llm" ? "true" : "false", "\n");
  }
  for (const auto& [name, stages] :
       std::vector<std::pair<const char*, const char*>>{
         { "remind", R"(["encode", "llm", "sms"])" },
         { "answer", R"(["encode", "llm"])" },
         { "full", R"(["encode", "retrieve", "rerank", "llm"])" } }) {
    absl::StrAppend(&toml, "[[pipeline]]\nname = \"", name,
                    "\"\nstages = ", stages,
                    "\ndeadline_ms = ", layout_.deadlineMs, "\n");
  }
  return toml;
}

std::string TestCluster::ControlAddresses() const
{
  std::string list;
  for (const int port : wirePorts_) {
    absl::StrAppend(&list, list.empty() ? "" : ",", Address(port));
  }
  return list;
}

std::vector<std::string> TestCluster::CommonArguments(
  const std::string& name) const
{
  return { WG_DAEMON,
           "--box",
           name,
           "--peer-key",
           PeerKey,
           "--operators",
           absl::StrCat(Operator, "=", OperatorKey),
           "--controls",
           ControlAddresses() };
}

std::string TestCluster::DataFolder(int index) const
{
  return absl::StrCat(folder_, "/data-", index);
}

std::string TestCluster::LogOf(const std::string& name) const
{
  std::ifstream file(absl::StrCat(folder_, "/", name));
  return std::string(std::istreambuf_iterator<char>(file), {});
}

void TestCluster::StartControl(int index)
{
  const std::string name = absl::StrCat("control-", index);
  std::vector<std::string> arguments = CommonArguments(name);
  for (const std::string& more :
       { std::string("--role"), std::string("control"), std::string("--hall"),
         std::string(index == 0 ? "h1" : "h2"), std::string("--peer"),
         Address(controlPorts_[Slot(index)]), std::string("--advertise"),
         Address(wirePorts_[Slot(index)]), std::string("--data"),
         DataFolder(index), std::string("--compact-after"),
         absl::StrCat(layout_.compactAfter), std::string("--voters"),
         absl::StrCat(layout_.voters), std::string("--spare-after-s"),
         absl::StrCat(layout_.spareAfterSeconds) }) {
    arguments.push_back(more);
  }
  controls_[Slot(index)].reset();
  controls_[Slot(index)] =
    std::make_unique<Process>(arguments, folder_ + "/" + name);
}

void TestCluster::StartEntry(int index)
{
  const std::string name = absl::StrCat("entry-", index);
  std::string seeds;
  for (const int port : entryPeerPorts_) {
    absl::StrAppend(&seeds, seeds.empty() ? "" : ",", Address(port));
  }
  std::vector<std::string> arguments = CommonArguments(name);
  for (const std::string& more :
       { std::string("--role"), std::string("entry"), std::string("--hall"),
         std::string(index == 0 ? "h1" : "h2"), std::string("--listen"),
         Address(entryPorts_[Slot(index)]), std::string("--peer"),
         Address(entryPeerPorts_[Slot(index)]), std::string("--seeds"), seeds,
         std::string("--settle-ms"), std::string("300"),
         std::string("--platform"), Address(platformPort_),
         std::string("--max-connections"),
         absl::StrCat(layout_.connections) }) {
    arguments.push_back(more);
  }
  entries_[Slot(index)].reset();
  entries_[Slot(index)] =
    std::make_unique<Process>(arguments, folder_ + "/" + name);
}

CallerRecord TestCluster::Call(int entry, const std::string& pipeline,
                               const std::string& input,
                               const std::string& key, int deadlineMs)
{
  CallerRecord record;
  record.key = key;
  record.input = input;
  record.expectedText = ExpectedText(input, AnswerTokens);
  record.needsRun = pipeline == "remind";
  httplib::Client client("127.0.0.1", entryPorts_[Slot(entry)]);
  client.set_read_timeout(20, 0);
  httplib::Headers headers{ { "Weirgate-Account", "a" } };
  if (!key.empty()) {
    headers.emplace("Idempotency-Key", key);
  }
  if (deadlineMs > 0) {
    headers.emplace("Weirgate-Deadline-Ms", absl::StrCat(deadlineMs));
  }
  const Json body{ { "input", input }, { "max_tokens", AnswerTokens } };
  const auto result = client.Post("/v1/pipelines/" + pipeline, headers,
                                  body.dump(), "application/json");
  if (!result) {
    return record;
  }
  record.status = result->status;
  record.request = result->get_header_value("Weirgate-Request");
  const Json answer = Json::parse(result->body, nullptr, false);
  if (answer.is_object()) {
    record.run = answer.value("run", "");
    record.error = answer.value("reason", "");
    record.text = answer.value("text", "");
  }
  return record;
}

int TestCluster::RunClient(const std::vector<std::string>& command)
{
  std::string servers = ControlAddresses();
  for (const int port : entryPeerPorts_) {
    absl::StrAppend(&servers, ",", Address(port));
  }
  // The key goes by the environment, so that no list of processes shows it.
  setenv("WEIRGATE_OPERATOR_KEY", OperatorKey, 1);
  std::vector<std::string> arguments = { WG_CLIENT, "--servers", servers,
                                         "--operator", Operator };
  arguments.insert(arguments.end(), command.begin(), command.end());
  const int code = Process(arguments, folder_ + "/client").Wait();
  unsetenv("WEIRGATE_OPERATOR_KEY");
  return code;
}

wire::ChangeResult TestCluster::Send(const wire::Change& change,
                                     absl::Duration limit)
{
  wire::ChangeResult last;
  last.set_verdict(wire::ChangeResult::UNAVAILABLE);
  const absl::Time end = absl::Now() + limit;
  for (int i = 0; absl::Now() < end; ++i) {
    const int port = controlPorts_[Slot(i % layout_.controls)];
    const auto bytes = operator_->CallAndWait(
      Address(port), "/change", change.SerializeAsString(), absl::Seconds(2));
    wire::ChangeResult answer;
    const bool definite = Succeeded(bytes) &&
                          answer.ParseFromString(Value(bytes)) &&
                          (answer.verdict() == wire::ChangeResult::ACCEPTED ||
                           answer.verdict() == wire::ChangeResult::REJECTED);
    if (definite) {
      return answer;
    }
    absl::SleepFor(Poll);
  }
  return last;
}

wire::ChangeResult TestCluster::SetWeight(double weight, std::uint64_t base,
                                          const std::string& id,
                                          absl::Duration limit)
{
  wire::Change change;
  change.set_id(id.empty() ? MakeChangeId() : id);
  change.set_base_revision(base);
  change.mutable_set_account()->set_account("a");
  change.mutable_set_account()->set_field("weight");
  change.mutable_set_account()->set_value(weight);
  return Send(change, limit);
}

Json TestCluster::StatusAt(int port)
{
  const auto bytes =
    operator_->CallAndWait(Address(port), "/status", "", absl::Seconds(1));
  wire::StatusReply reply;
  if (!Succeeded(bytes) || !reply.ParseFromString(Value(bytes))) {
    return Json::object();
  }
  Json json = Json::parse(reply.json(), nullptr, false);
  return json.is_object() ? json : Json::object();
}

Json TestCluster::StatusOfControl(int index)
{
  return StatusAt(controlPorts_[Slot(index)]);
}

Json TestCluster::StatusOfEntry(int index)
{
  return StatusAt(entryPeerPorts_[Slot(index)]);
}

int TestCluster::FindLeader()
{
  for (int i = 0; i < layout_.controls; ++i) {
    const bool runs = controls_[Slot(i)] && controls_[Slot(i)]->IsRunning();
    if (runs && StatusOfControl(i).value("replica", "") == "leader" &&
        StatusOfControl(i).value("lease", false)) {
      return i;
    }
  }
  return -1;
}

int TestCluster::VoterCount()
{
  const int leader = FindLeader();
  return leader < 0
           ? 0
           : static_cast<int>(StatusOfControl(leader)["voters"].size());
}

std::uint64_t TestCluster::RevisionAtEntry(int index)
{
  return StatusOfEntry(index).value("revision", std::uint64_t{ 0 });
}

double TestCluster::WeightAtEntry(int index)
{
  for (const Json& row :
       StatusOfEntry(index).value("accounts", Json::array())) {
    if (row.value("account", "") == "a") {
      return row.value("weight", 0.0);
    }
  }
  return 0.0;
}

std::set<std::string> TestCluster::VoterIds()
{
  std::set<std::string> ids;
  const int leader = FindLeader();
  const Json status = leader < 0 ? Json::object() : StatusOfControl(leader);
  for (const Json& voter : status.value("voters", Json::array())) {
    ids.insert(voter.value("id", ""));
  }
  return ids;
}

bool TestCluster::AllVote()
{
  std::set<std::string> voters = VoterIds();
  if (voters.size() != Slot(layout_.voters)) {
    return false;
  }
  for (int i = 0; i < layout_.controls; ++i) {
    voters.erase(StatusOfControl(i).value("id", ""));
  }
  return voters.empty();
}

std::vector<int> TestCluster::Spares()
{
  const std::set<std::string> voters = VoterIds();
  std::vector<int> spares;
  for (int i = 0; i < layout_.controls; ++i) {
    const std::string id = StatusOfControl(i).value("id", "");
    if (!id.empty() && voters.count(id) == 0) {
      spares.push_back(i);
    }
  }
  return spares;
}

void TestCluster::Apply()
{
  wire::Change change;
  change.set_id(MakeChangeId());
  change.mutable_apply()->set_toml(MakeConfig());
  if (Send(change).verdict() != wire::ChangeResult::ACCEPTED) {
    throw std::runtime_error("The configuration was not accepted.");
  }
}

void TestCluster::AddBox(const std::string& name)
{
  boxLines_.push_back(name);
  Apply();
}

void TestCluster::AddBoxes(int count)
{
  for (int i = 0; i < count; ++i) {
    boxLines_.push_back(absl::StrCat("elsewhere-", i));
  }
  Apply();
}

void TestCluster::LimitAnswers(double bytesPerSecond)
{
  const auto rate = std::make_shared<LinkRate>(bytesPerSecond);
  for (const std::unique_ptr<Forwarder>& wire : wires_) {
    wire->LimitAnswers(rate);
  }
}

void TestCluster::AddEndpointAt(const std::string& group, int port)
{
  endpointLines_.push_back(
    { absl::StrCat(group, "-", port), group, "", "h1", port, 0.0 });
  Apply();
}

bool TestCluster::EntryHears(const std::string& endpoint)
{
  const Json status = StatusOfEntry(0);
  for (const Json& row : status.value("endpoints", Json::array())) {
    if (row.value("endpoint", "") == endpoint) {
      return row.value("report_age_ms", -1) >= 0;
    }
  }
  return false;
}

void TestCluster::Post(int endpointPort, const std::string& path,
                       const std::string& body)
{
  httplib::Client client("127.0.0.1", endpointPort);
  client.Post(path, body, "application/json");
}

Json TestCluster::Get(int port, const std::string& path)
{
  httplib::Client client("127.0.0.1", port);
  client.set_read_timeout(1, 0);
  const auto result = client.Get(path);
  if (!result || result->status != 200) {
    return Json();
  }
  Json json = Json::parse(result->body, nullptr, false);
  return json.is_discarded() ? Json(result->body) : json;
}

int TestCluster::PortOf(const std::string& endpoint) const
{
  for (const EndpointLine& line : endpointLines_) {
    if (line.name == endpoint) {
      return line.port;
    }
  }
  return 0;
}

std::vector<std::string> TestCluster::EndpointsOf(
  const std::string& group) const
{
  std::vector<std::string> names;
  for (const EndpointLine& line : endpointLines_) {
    if (line.group == group) {
      names.push_back(line.name);
    }
  }
  return names;
}

std::vector<RunRecord> TestCluster::RunsOf(
  const std::vector<std::string>& endpoints)
{
  std::vector<RunRecord> records;
  for (const std::string& endpoint : endpoints) {
    const Json runs = Get(PortOf(endpoint), "/v1/runs");
    if (!runs.is_object()) {
      continue;
    }
    for (const auto& [request, count] : runs["runs"].items()) {
      records.push_back({ endpoint, request, count.get<int>() });
    }
  }
  return records;
}

std::string ExpectedText(const std::string& input, std::size_t tokens)
{
  std::string text;
  std::size_t characters = 0;
  for (const char c : input) {
    const bool starts = (static_cast<unsigned char>(c) & 0xC0U) != 0x80U;
    if (starts && characters++ == tokens * PieceCharacters) {
      break;
    }
    text.push_back(c);
  }
  return text;
}

} // namespace wg::test
