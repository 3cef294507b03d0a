// SPDX-License-Identifier: Apache-2.0
#include "wgReviewSite.h"

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <map>
#include <random>
#include <sstream>
#include <thread>

#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace wg::review {
namespace {

constexpr int CannotRunCode = 2;
constexpr int ControlCount = 3;
constexpr int InternalPorts = 15; // the last of the range
constexpr int CallMs = 1500;
constexpr long RestartMs = 500;
const char* const Zones[] = { "hall-a", "hall-b", "hall-c" };

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

std::string LastOutput(const std::string& path)
{
  constexpr std::size_t shown = 400;
  std::string text = ReadFile(path);
  while (!text.empty() && text.back() == '\n') {
    text.pop_back();
  }
  text = text.size() > shown ? text.substr(text.size() - shown) : text;
  return text.substr(text.rfind("terminate called") == std::string::npos
                       ? 0
                       : text.rfind("terminate called"));
}

/** The value of `key = "..."` behind the heading of a role. */
std::string DeployWord(const std::string& deploy, const std::string& role,
                       const std::string& key)
{
  const std::size_t heading = deploy.find("[roles." + role + "]");
  const std::size_t at = deploy.find(key + " = \"", heading);
  if (heading == std::string::npos || at == std::string::npos) {
    CannotRun("the deploy file names no " + key + " of " + role);
  }
  const std::size_t first = deploy.find('"', at) + 1;
  return deploy.substr(first, deploy.find('"', first) - first);
}

} // namespace

void CannotRun(const std::string& why)
{
  std::cerr << "The case can't run: " << why << "\n";
  std::exit(CannotRunCode);
}

Record::Record(const std::string& path)
  : file_(path, std::ios::trunc)
  , began_(NowMs())
{
}

void Record::Write(const std::string& line)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  file_ << (NowMs() - began_) << " ms " << line << "\n" << std::flush;
}

Site::Site(std::string root, std::string folder, int gateways, Record& record)
  : root_(std::move(root))
  , folder_(std::move(folder))
  , record_(record)
{
  std::random_device random;
  constexpr int networks = 200;
  constexpr int ports = 8000;
  constexpr int reservedPlace = 250;
  constexpr int basePortOfNetworks = 19999;
  bool isFree = false;
  for (int tries = 0; tries < 50 && !isFree; ++tries) {
    network_ = 20 + static_cast<int>(random() % networks);
    basePort_ = 20000 + static_cast<int>(random() % ports);
    // Cases that run at the same time: the port for metrics is fixed.
    reservation_ = Listen(AddressOf(reservedPlace), basePortOfNetworks);
    isFree = reservation_.IsOpen();
    for (int port = 0; port <= 40; ++port) {
      isFree = isFree && Listen(AddressOf(1), basePort_ + port).IsOpen();
    }
  }
  if (!isFree) {
    CannotRun("no free ports");
  }
  for (int i = 0; i < ControlCount; ++i) {
    Machine machine;
    machine.zone = Zones[i];
    machine.name = "core-" + machine.zone + "-1";
    machine.ip = AddressOf(1 + i);
    machine.isControl = true;
    controls_.push_back(machine);
  }
  for (int i = 0; i < gateways; ++i) {
    Machine machine;
    machine.zone = Zones[i % ControlCount];
    machine.name = "edge-" + machine.zone + "-" + std::to_string(i / 3 + 1);
    machine.ip = AddressOf(21 + i);
    gateways_.push_back(machine);
  }
}

Site::~Site()
{
  for (auto* machines : { &gateways_, &controls_ }) {
    for (Machine& machine : *machines) {
      Kill(machine);
    }
  }
}

std::string Site::AddressOf(int place) const
{
  return "127." + std::to_string(network_) + ".0." + std::to_string(place);
}

std::string Site::SettingsPath(const Machine& machine) const
{
  return folder_ + "/" + machine.name + ".settings";
}

/** As the platform fills the template for this machine. */
bool Site::WriteSettings(const Machine& machine, bool isFirst)
{
  const auto at = [&machine](int port) {
    return machine.ip + ":" + std::to_string(port);
  };
  std::string seeds;
  for (const Machine& control : controls_) {
    seeds += (seeds.empty() ? "" : ",") + control.ip + ":" +
             std::to_string(ControlPort());
  }
  std::string zones;
  for (const char* zone : Zones) {
    zones += (zones.empty() ? "" : ",") + std::string(zone);
  }
  const bool isControl = machine.isControl;
  const std::map<std::string, std::string> gaps = {
    { "{{#zones}}{{@}}{{,}}{{/zones}}", zones },
    { "{{nodeName}}", machine.name },
    { "{{zone}}", machine.zone },
    { "{{ip}}", machine.ip },
    { "{{internalPortRange.0}}", std::to_string(basePort_ + 10) },
    { "{{internalPortRange.1}}",
      std::to_string(basePort_ + 10 + InternalPorts) },
    { "{{seedNodes}}", seeds },
    { "{{listenersMap.frontend}}", isControl ? "" : at(FrontPort()) },
    { "{{listenersMap.ready}}", isControl ? "" : at(ReadyPort()) },
    { "{{listenersMap.controlPlane}}", isControl ? at(ControlPort()) : "" },
    { "{{bounds.warmupOverrun}}", "" },
    { "{{bounds.warmupSlack}}", "" },
    { "{{bounds.retryRatio}}", "0.2" },
    { "{{bounds.retrySlack}}", "56" },
    { "{{bounds.retryWindowS}}", "10" },
    { "{{bounds.graceS}}", "8" },
    { "{{dataDir}}", isControl ? folder_ + "/data-" + machine.name : "" },
    { "{{firstStart}}", isFirst ? "true" : "false" },
    { "{{faultTolerance.machines}}", "1" },
    { "{{heartbeatMs}}", "1200" },
    { "{{limits.cpuQuota}}", isControl ? "0.3" : "0.25" },
  };
  std::string text = ReadFile(root_ + "/deploy/settings.template");
  for (const auto& [gap, value] : gaps) {
    Replace(text, gap, value);
  }
  std::ofstream(SettingsPath(machine)) << text;
  return !text.empty() && text.find("{{") == std::string::npos;
}

void Site::StartAll()
{
  for (auto* machines : { &controls_, &gateways_ }) {
    for (Machine& machine : *machines) {
      Start(machine, true);
    }
  }
}

void Site::Start(Machine& machine, bool isFirst)
{
  if (!WriteSettings(machine, isFirst)) {
    CannotRun("the template of settings has gaps that are not known here");
  }
  const std::string deploy = ReadFile(root_ + "/deploy/system.toml");
  const std::string role = machine.isControl ? "control" : "entry";
  const std::string run = DeployWord(deploy, role, "run");
  const std::string key =
    "WEIRGATE_PEER_KEY=" + DeployWord(deploy, role, "WEIRGATE_PEER_KEY");
  std::vector<std::string> words;
  std::istringstream split(run);
  for (std::string word; split >> word;) {
    words.push_back(word);
  }
  std::vector<char*> arguments;
  for (std::string& word : words) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  std::string settings = "WEIRGATE_SETTINGS=" + SettingsPath(machine);
  std::string keyWord = key;
  std::string path = "PATH=/usr/bin:/bin";
  char* const environment[] = { settings.data(), keyWord.data(), path.data(),
                                nullptr };
  const std::string log = folder_ + "/" + machine.name + ".log";
  std::filesystem::create_directories(folder_ + "/data-" + machine.name);
  machine.startedMs = NowMs();
  machine.pid = fork();
  if (machine.pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    if (chdir(root_.c_str()) == 0) {
      execve(arguments[0], arguments.data(), environment);
    }
    _exit(CannotRunCode);
  }
  record_.Write("start " + machine.name + ": " + run);
}

void Site::Kill(Machine& machine)
{
  if (machine.pid > 0) {
    kill(machine.pid, SIGKILL);
    waitpid(machine.pid, nullptr, 0);
    machine.pid = -1;
  }
}

int Site::TendEnded()
{
  int ended = 0;
  for (auto* machines : { &controls_, &gateways_ }) {
    for (Machine& machine : *machines) {
      int status = 0;
      if (machine.pid > 0 &&
          waitpid(machine.pid, &status, WNOHANG) == machine.pid) {
        ++ended;
        ++machine.ownEnds;
        machine.pid = -1;
        machine.startedMs = NowMs();
        record_.Write("last output of " + machine.name + ": " +
                      LastOutput(folder_ + "/" + machine.name + ".log"));
        record_.Write(
          "OWN END " + machine.name +
          (WIFSIGNALED(status)
             ? ", signal " + std::to_string(WTERMSIG(status))
             : ", exit code " + std::to_string(WEXITSTATUS(status))));
      } else if (machine.pid == -1 && machine.ownEnds > 0 &&
                 NowMs() - machine.startedMs > RestartMs) {
        Start(machine, false);
      }
    }
  }
  return ended;
}

bool Site::Publish(const std::string& document, int limitMs)
{
  const long until = NowMs() + limitMs;
  for (std::size_t i = 0; NowMs() < until; ++i) {
    const Machine& control = controls_[i % controls_.size()];
    const std::string request =
      "PUT /-/config HTTP/1.1\r\nHost: " + control.ip +
      "\r\nContent-Type: application/json\r\nContent-Length: " +
      std::to_string(document.size()) + "\r\n\r\n" + document;
    const int status =
      CallOnce(control.ip, ControlPort(), request, CallMs).Status();
    record_.Write("operator sends a configuration to " + control.name +
                  ", answer " + std::to_string(status));
    if (status == 200) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
  }
  return false;
}

bool Site::AwaitReady(int limitMs)
{
  const long until = NowMs() + limitMs;
  for (const Machine& gateway : gateways_) {
    const std::string request =
      "GET /-/readyz HTTP/1.1\r\nHost: " + gateway.ip + "\r\n\r\n";
    while (CallOnce(gateway.ip, ReadyPort(), request, CallMs).Status() !=
           200) {
      if (NowMs() > until) {
        return false;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
  }
  return true;
}

} // namespace wg::review
