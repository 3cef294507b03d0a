// SPDX-License-Identifier: Apache-2.0
// A small deployment of the project's own program: control boxes and
// gateways as separate processes on loopback addresses.
#pragma once

#include <fstream>
#include <mutex>
#include <string>
#include <vector>

#include <sys/types.h>

#include "wgReviewNet.h"

namespace wg::review {

/** \brief What was sent, answered and run, with the time in ms. */
class Record
{
public:
  explicit Record(const std::string& path);
  void Write(const std::string& line);

private:
  std::mutex mutex_;
  std::ofstream file_;
  long began_;
};

/** \brief A machine of the site. */
struct Machine
{
  std::string name;
  std::string zone;
  std::string ip;
  bool isControl = false;
  pid_t pid = -1;
  long startedMs = 0; // by this site
  int ownEnds = 0;    // it ended without being told to
};

/** \brief All of it ends with this object. Of one thread. */
class Site
{
public:
  /** \param root of the repository, \param folder for files of this run */
  Site(std::string root, std::string folder, int gateways, Record& record);
  ~Site();
  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;

  void StartAll();
  void Start(Machine& machine, bool isFirst);
  void Kill(Machine& machine);
  /** \brief Starts what ended by itself again, as the platform does.
   * \return how many had ended
   */
  int TendEnded();

  /** \brief Sends it until it is acknowledged. */
  bool Publish(const std::string& document, int limitMs);
  bool AwaitReady(int limitMs);

  std::vector<Machine>& Controls() { return controls_; }
  std::vector<Machine>& Gateways() { return gateways_; }
  int FrontPort() const { return basePort_ + 1; }
  int ReadyPort() const { return basePort_ + 2; }
  int ControlPort() const { return basePort_ + 3; }
  int ServerPort() const { return basePort_ + 4; }
  /** \brief An address of this run's own; places from 100 on are free. */
  std::string AddressOf(int place) const;

private:
  bool WriteSettings(const Machine& machine, bool isFirst);
  std::string SettingsPath(const Machine& machine) const;

  std::string root_;
  std::string folder_;
  Record& record_;
  int network_ = 0;
  Socket reservation_; // of the network, while this lives
  int basePort_ = 0;
  std::vector<Machine> controls_;
  std::vector<Machine> gateways_;
};

/** \brief Ends the process with 2: the case could not run. */
[[noreturn]] void CannotRun(const std::string& why);

} // namespace wg::review
