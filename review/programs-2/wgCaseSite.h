// SPDX-License-Identifier: Apache-2.0
// A small deployment on loopback addresses, started as deploy/system.toml and
// deploy/settings.template say.
#pragma once

#include <fstream>
#include <mutex>
#include <string>
#include <vector>

#include <sys/types.h>

#include "wgCaseWire.h"

namespace wgcase {

/** \class Record
 * \brief What was sent, answered and run, a line each, with milliseconds.
 */
class Record
{
public:
  explicit Record(const std::string& path)
    : file_(path)
  {
  }
  void Note(const std::string& line);

private:
  std::mutex mutex_;
  std::ofstream file_;
};

struct Machine
{
  std::string name;
  std::string zone;
  std::string ip;
  bool isCore = false;
  pid_t process = 0;
};

/** \class Site
 * \brief Its processes end with it, by their ids. All of a run's files are in
 * a temporary folder of its own, which goes as well.
 */
class Site
{
public:
  /** \param root the repository's */
  Site(std::string root, Record& record);
  ~Site();

  Machine& Add(const std::string& name, const std::string& zone, bool isCore);
  /** \param isFirst the platform's firstStart
   * \return whether it was started
   */
  bool Start(Machine& machine, bool isFirst);
  /** \brief Sends a signal to the machine's process. */
  void Signal(Machine& machine, int signal);
  /** \brief Ends it at once, and awaits its end. */
  void Kill(Machine& machine);
  /** \brief Takes the files of its disk away; it must not run. */
  void LoseDisk(Machine& machine);
  bool IsUp(Machine& machine);

  /** \brief An address of loopback that no machine has. */
  std::string FreeIp();
  std::string Frontend(const Machine& machine) const;
  std::string Ready(const Machine& machine) const;
  std::string ControlPlane(const Machine& machine) const;
  std::string Folder(const Machine& machine) const;
  std::vector<Machine*> Core();
  std::vector<Machine*> Edge();

private:
  std::string Settings(const Machine& machine, bool isFirst) const;
  std::string RunLine(const Machine& machine) const;

  std::string root_;
  std::string folder_;
  std::string net_; // the first three numbers of its addresses
  int next_ = 1;
  std::vector<std::unique_ptr<Machine>> machines_;
  Record& record_;
};

/** \brief The status of an operator's document at one machine; 0: none. */
int Publish(const std::string& controlPlane, const std::string& document,
            long untilMs);

} // namespace wgcase
