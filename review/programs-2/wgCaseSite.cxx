// SPDX-License-Identifier: Apache-2.0
#include "wgCaseSite.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <sstream>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace wgcase {
namespace {

constexpr const char* FrontendPort = "8625";
constexpr const char* ReadyPort = "8621";
constexpr const char* ControlPort = "8628";
constexpr const char* FirstInternalPort = "7740";
constexpr const char* SecondInternalPort = "7741";

using Gaps = std::vector<std::pair<std::string, std::string>>;

std::string ReadFile(const std::string& path)
{
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void Replace(std::string& text, const std::string& from, const std::string& to)
{
  for (std::size_t at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
}

bool IsFree(const std::string& ip)
{
  bool isFree = true;
  for (const char* port : { FrontendPort, ReadyPort, ControlPort,
                            FirstInternalPort, SecondInternalPort, "9464" }) {
    const int tried = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port =
      htons(static_cast<std::uint16_t>(std::strtol(port, nullptr, 10)));
    inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
    const int yes = 1;
    setsockopt(tried, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    isFree = isFree && bind(tried, reinterpret_cast<const sockaddr*>(&at),
                            sizeof(at)) == 0;
    close(tried);
  }
  return isFree;
}

} // namespace

void Record::Note(const std::string& line)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  file_ << NowMs() << " " << line << std::endl;
}

Site::Site(std::string root, Record& record)
  : root_(std::move(root))
  , record_(record)
{
  std::string made =
    (std::filesystem::temp_directory_path() / "wg-case-XXXXXX").string();
  folder_ = mkdtemp(made.data());
  constexpr int nets = 250;
  const int first = static_cast<int>(getpid());
  for (int i = 0; i < nets; ++i) {
    net_ = "127." + std::to_string(1 + (first + i) % nets) + "." +
           std::to_string(1 + first / nets % nets) + ".";
    if (IsFree(net_ + "1")) {
      break;
    }
  }
}

Site::~Site()
{
  for (const auto& machine : machines_) {
    Kill(*machine);
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

std::string Site::FreeIp()
{
  return net_ + std::to_string(next_++);
}

Machine& Site::Add(const std::string& name, const std::string& zone,
                   bool isCore)
{
  machines_.push_back(std::make_unique<Machine>());
  Machine& machine = *machines_.back();
  machine.name = name;
  machine.zone = zone;
  machine.ip = FreeIp();
  machine.isCore = isCore;
  return machine;
}

std::string Site::Frontend(const Machine& machine) const
{
  return machine.ip + ":" + FrontendPort;
}

std::string Site::Ready(const Machine& machine) const
{
  return machine.ip + ":" + ReadyPort;
}

std::string Site::ControlPlane(const Machine& machine) const
{
  return machine.ip + ":" + ControlPort;
}

std::string Site::Folder(const Machine& machine) const
{
  return folder_ + "/" + machine.name;
}

std::vector<Machine*> Site::Core()
{
  std::vector<Machine*> core;
  for (const auto& machine : machines_) {
    if (machine->isCore) {
      core.push_back(machine.get());
    }
  }
  return core;
}

std::vector<Machine*> Site::Edge()
{
  std::vector<Machine*> edge;
  for (const auto& machine : machines_) {
    if (!machine->isCore) {
      edge.push_back(machine.get());
    }
  }
  return edge;
}

/** The gaps of the template, with the figures of a site of the pages. */
std::string Site::Settings(const Machine& machine, bool isFirst) const
{
  std::string seeds;
  for (const auto& other : machines_) {
    if (other->isCore) {
      seeds += (seeds.empty() ? "" : ",") + ControlPlane(*other);
    }
  }
  const Gaps gaps = {
    { "{{#zones}}{{@}}{{,}}{{/zones}}", "zone-a,zone-b,zone-c" },
    { "{{nodeName}}", machine.name },
    { "{{zone}}", machine.zone },
    { "{{ip}}", machine.ip },
    { "{{internalPortRange.0}}", FirstInternalPort },
    { "{{internalPortRange.1}}", SecondInternalPort },
    { "{{seedNodes}}", seeds },
    { "{{listenersMap.frontend}}", machine.isCore ? "" : Frontend(machine) },
    { "{{listenersMap.ready}}", machine.isCore ? "" : Ready(machine) },
    { "{{listenersMap.controlPlane}}",
      machine.isCore ? ControlPlane(machine) : "" },
    { "{{bounds.warmupOverrun}}", "" },
    { "{{bounds.warmupSlack}}", "" },
    { "{{dataDir}}", machine.isCore ? Folder(machine) + "/disk" : "" },
    { "{{firstStart}}", isFirst ? "true" : "false" },
    { "{{faultTolerance.machines}}", "1" },
    { "{{heartbeatMs}}", "1200" },
    { "{{limits.cpuQuota}}", machine.isCore ? "0.3" : "0.25" },
    { "{{bounds.retryRatio}}", "0.2" },
    { "{{bounds.retrySlack}}", "56" },
    { "{{bounds.retryWindowS}}", "10" },
    { "{{bounds.graceS}}", "8" },
  };
  std::string text = ReadFile(root_ + "/deploy/settings.template");
  for (const auto& [gap, value] : gaps) {
    Replace(text, gap, value);
  }
  return text;
}

/** The command of the role that is on the machine's class. */
std::string Site::RunLine(const Machine& machine) const
{
  std::istringstream lines(ReadFile(root_ + "/deploy/system.toml"));
  std::string line;
  std::string run;
  const std::string on = machine.isCore ? "on = \"core\"" : "on = \"edge\"";
  while (std::getline(lines, line)) {
    const std::string start = "run = \"";
    if (line.compare(0, start.size(), start) == 0) {
      run = line.substr(start.size(), line.rfind('"') - start.size());
    } else if (line == on) {
      return run;
    }
  }
  return "";
}

bool Site::Start(Machine& machine, bool isFirst)
{
  const std::string folder = Folder(machine);
  std::error_code ignored;
  std::filesystem::create_directories(folder + "/disk", ignored);
  const std::string path = folder + "/settings";
  std::ofstream(path) << Settings(machine, isFirst);
  std::istringstream line(RunLine(machine));
  std::vector<std::string> words;
  for (std::string word; line >> word;) {
    words.push_back(word);
  }
  const std::string log = folder + "/log";
  const std::string named = "WEIRGATE_SETTINGS=" + path;
  const std::string key = "WEIRGATE_PEER_KEY=weirgate-on-the-platform";
  const std::string lang = "LANG=C.UTF-8";
  const pid_t parent = getpid();
  const pid_t process = fork();
  if (process == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent || chdir(root_.c_str()) != 0) {
      _exit(1);
    }
    const int out =
      open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600); // NOLINT
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    std::vector<char*> arguments;
    for (std::string& word : words) {
      arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    std::vector<char*> environment = { const_cast<char*>(named.c_str()),
                                       const_cast<char*>(key.c_str()),
                                       const_cast<char*>(lang.c_str()),
                                       nullptr };
    execve(arguments[0], arguments.data(), environment.data());
    _exit(1);
  }
  machine.process = process;
  record_.Note("start " + machine.name +
               (isFirst ? " firstStart=true" : " firstStart=false"));
  return process > 0;
}

void Site::Signal(Machine& machine, int signal)
{
  if (machine.process > 0) {
    kill(machine.process, signal);
    record_.Note("signal " + std::to_string(signal) + " to " + machine.name);
  }
}

void Site::Kill(Machine& machine)
{
  if (machine.process <= 0) {
    return;
  }
  kill(machine.process, SIGKILL);
  waitpid(machine.process, nullptr, 0);
  machine.process = 0;
  record_.Note("killed " + machine.name);
}

void Site::LoseDisk(Machine& machine)
{
  std::error_code ignored;
  std::filesystem::remove_all(Folder(machine) + "/disk", ignored);
  record_.Note("disk lost of " + machine.name);
}

bool Site::IsUp(Machine& machine)
{
  if (machine.process > 0 &&
      waitpid(machine.process, nullptr, WNOHANG) == machine.process) {
    machine.process = 0;
    record_.Note("ended by itself: " + machine.name);
  }
  return machine.process > 0;
}

int Publish(const std::string& controlPlane, const std::string& document,
            long untilMs)
{
  const auto answer =
    Call(controlPlane,
         PrintRequest("PUT", "/-/config",
                      { { "Host", controlPlane },
                        { "Content-Type", "application/json" },
                        { "Connection", "close" } },
                      document),
         untilMs);
  return answer ? answer->Status() : 0;
}

} // namespace wgcase
