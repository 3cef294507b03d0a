// SPDX-License-Identifier: Apache-2.0
#include "wgSettings.h"

#include <atomic>
#include <csignal>
#include <iostream>
#include <thread>

#include "absl/time/clock.h"

namespace {

constexpr int ExitBadSettings = 2;
constexpr int ExitCannotStart = 1;
constexpr absl::Duration SignalPoll = absl::Milliseconds(20);

std::atomic<int> SignalsSeen{ 0 };
std::atomic<bool> Hurry{ false };

void OnSignal(int)
{
  Hurry = ++SignalsSeen > 1;
}

void WaitForSignal()
{
  while (SignalsSeen == 0) {
    absl::SleepFor(SignalPoll);
  }
}

int RunEntry(wg::EntrySettings settings)
{
  wg::EntryNode node(std::move(settings));
  if (auto started = node.Start(); !wg::Succeeded(started)) {
    std::cerr << wg::Message(started) << "\n";
    return ExitCannotStart;
  }
  wg::LogChange("entry", "started");
  WaitForSignal();
  return node.Stop(Hurry) == 0 ? 0 : ExitCannotStart;
}

int RunControl(wg::ControlSettings settings)
{
  wg::Counters counters;
  wg::ControlNode node(std::move(settings), counters);
  if (auto started = node.Start(); !wg::Succeeded(started)) {
    std::cerr << wg::Message(started) << "\n";
    return ExitCannotStart;
  }
  wg::LogChange("control", "started");
  WaitForSignal();
  node.Stop();
  wg::LogChange("stop", "done");
  return 0;
}

} // namespace

int main(int argc, char** argv)
{
  auto settings = wg::ReadDaemonSettings(argc, argv);
  if (!wg::Succeeded(settings)) {
    std::cerr << "weirgated: " << wg::Message(settings) << "\n";
    return ExitBadSettings;
  }
  wg::DaemonSettings& checked = wg::Value(settings);
  if (checked.checkOnly) {
    std::cout << "The settings are sound.\n";
    return 0;
  }
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, OnSignal);
  std::signal(SIGINT, OnSignal);
  wg::StartLog(checked.logFormat);
  if (auto* entry = std::get_if<wg::EntrySettings>(&checked.role)) {
    return RunEntry(std::move(*entry));
  }
  return RunControl(std::move(std::get<wg::ControlSettings>(checked.role)));
}
