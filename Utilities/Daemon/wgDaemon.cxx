// SPDX-License-Identifier: Apache-2.0
#include "wgSettings.h"

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>
#include <utility>

#include <poll.h>

#include <boost/asio/signal_set.hpp>

#include "absl/time/clock.h"

#include "wgControlMetrics.h"
#include "wgLoopTimer.h"
#include "wgPlatformControl.h"
#include "wgPlatformDialect.h"
#include "wgSettingsFile.h"

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

constexpr auto FilePeriod = std::chrono::seconds(3);

/** Hands changes of the settings file on, told by signal or not. */
class FileFollower
{
public:
  using Take = std::function<void(const std::vector<std::string>&)>;

  FileFollower(wg::EventLoop& loop, const std::string& path, Take take)
    : watch_(path)
    , take_(std::move(take))
    , timer_(loop)
  {
    Arm();
  }

  void Check(bool force)
  {
    const auto controls = watch_.ChangedControls(force);
    if (!controls.empty()) {
      wg::LogChange("settings", "read again");
      take_(controls);
    }
  }

private:
  void Arm()
  {
    timer_.expires_after(FilePeriod);
    timer_.async_wait([this](boost::system::error_code error) {
      if (!error) {
        Check(false);
        Arm();
      }
    });
  }

  wg::SettingsWatch watch_;
  Take take_;
  wg::LoopTimer timer_;
};

/** Calls `stop` for the first signal to end, and has the file read again. */
void FollowSignals(boost::asio::signal_set& signals, FileFollower& file,
                   const std::function<void()>& stop)
{
  signals.async_wait(
    [&signals, &file, stop](boost::system::error_code error, int signal) {
      if (error) {
        return;
      }
      if (signal == SIGHUP) {
        file.Check(true);
      } else {
        stop();
      }
      FollowSignals(signals, file, stop);
    });
}

int RunGateway(wg::GatewaySettings settings, const std::string& file)
{
  const wg::Dialect dialect = wg::MakePlatformDialect();
  wg::GatewayNode node(std::move(settings), dialect);
  boost::asio::signal_set signals(node.Loop(), SIGTERM, SIGINT, SIGHUP);
  if (auto started = node.Start(); !wg::Succeeded(started)) {
    std::cerr << wg::Message(started) << "\n";
    return ExitCannotStart;
  }
  FileFollower follower(node.Loop(), file,
                        [&node](const std::vector<std::string>& controls) {
                          node.AddControls(controls);
                        });
  FollowSignals(signals, follower, [&node] { node.BeginStop(); });
  node.Run();
  return 0;
}

int RunControl(wg::DaemonSettings& daemon)
{
  wg::ControlSettings& settings = std::get<wg::ControlSettings>(daemon.role);
  wg::Counters counters;
  wg::DecisionLog log(settings.box, "control");
  wg::ControlNode node(std::move(settings), counters);
  wg::PlatformControl platform(node, counters, log,
                               { daemon.halls.begin(), daemon.halls.end() });
  if (!daemon.api.empty()) {
    if (auto started = platform.Start(daemon.api); !wg::Succeeded(started)) {
      std::cerr << wg::Message(started) << "\n";
      return ExitCannotStart;
    }
  }
  wg::ControlMetrics metrics(node, counters);
  if (!daemon.metrics.empty()) {
    if (auto started = metrics.Start(daemon.metrics);
        !wg::Succeeded(started)) {
      std::cerr << wg::Message(started) << "\n";
      return ExitCannotStart;
    }
  }
  if (auto started = node.Start(); !wg::Succeeded(started)) {
    std::cerr << wg::Message(started) << "\n";
    return ExitCannotStart;
  }
  wg::LogChange("control", "started");
  wg::EventLoop signalLoop(1);
  boost::asio::signal_set signals(signalLoop, SIGTERM, SIGINT, SIGHUP);
  FileFollower follower(signalLoop, daemon.settingsFile,
                        [&node](const std::vector<std::string>& controls) {
                          node.AddControls(controls);
                        });
  bool isStopping = false;
  FollowSignals(signals, follower, [&signalLoop, &node, &isStopping] {
    if (std::exchange(isStopping, true)) {
      signalLoop.stop(); // told twice
      return;
    }
    node.BeginStop([&signalLoop] { signalLoop.stop(); });
  });
  signalLoop.run();
  node.Stop();
  wg::LogChange("stop", "done");
  return 0;
}

/** Returns as the process has been told to stop, and has. */
int Run(wg::DaemonSettings& settings)
{
  if (auto* entry = std::get_if<wg::EntrySettings>(&settings.role)) {
    std::signal(SIGTERM, OnSignal);
    std::signal(SIGINT, OnSignal);
    return RunEntry(std::move(*entry));
  }
  if (auto* gateway = std::get_if<wg::GatewaySettings>(&settings.role)) {
    return RunGateway(std::move(*gateway), settings.settingsFile);
  }
  return RunControl(settings);
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
  wg::StartLog(checked.logFormat);
  // Libraries end their threads as static objects are destroyed, which may
  // take longer than the grace time. All that is to last is on disk by now.
  std::quick_exit(Run(checked));
}
