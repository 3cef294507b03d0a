// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <tclap/CmdLine.h>

namespace wg::test {

/** \brief Runs one seed for so many seconds; returns what broke. */
using SoakSeed = std::function<std::vector<std::string>(
  std::uint64_t seed, int seconds, const std::string& daemon)>;

/** \brief A switch of a soak's command line. */
struct SoakSwitch
{
  std::string name;
  std::string description;
  bool* isSet = nullptr;
};

/** \brief The main function of a soak. Returns its exit code: 1 where a seed
 * broke a promise, 2 where it could not run.
 */
inline int RunSoak(int argc, char** argv, const std::string& what,
                   const SoakSeed& runSeed,
                   const std::vector<SoakSwitch>& switches = {})
{
  try {
    TCLAP::CmdLine line(what);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "The first seed.", false,
                                        1, "number", line);
    TCLAP::ValueArg<int> seeds("", "seeds", "How many seeds.", false, 1,
                               "number", line);
    TCLAP::ValueArg<int> seconds("", "seconds", "Seconds of faults a seed.",
                                 false, 15, "seconds", line);
    TCLAP::ValueArg<std::string> daemon(
      "", "daemon", "Another program in place of the one built here.", false,
      "", "path", line);
    std::vector<std::unique_ptr<TCLAP::SwitchArg>> more;
    for (const SoakSwitch& one : switches) {
      more.push_back(std::make_unique<TCLAP::SwitchArg>(
        "", one.name, one.description, line, false));
    }
    line.parse(argc, argv);
    for (std::size_t i = 0; i < switches.size(); ++i) {
      *switches[i].isSet = more[i]->getValue();
    }
    int broken = 0;
    for (int i = 0; i < seeds.getValue(); ++i) {
      const std::uint64_t now =
        seed.getValue() + static_cast<std::uint64_t>(i);
      const auto findings =
        runSeed(now, seconds.getValue(), daemon.getValue());
      for (const std::string& finding : findings) {
        std::printf("seed %llu: %s\n", static_cast<unsigned long long>(now),
                    finding.c_str());
      }
      broken += findings.empty() ? 0 : 1;
      std::fflush(stdout);
    }
    std::printf("%d of %d seeds broke a promise.\n", broken, seeds.getValue());
    return broken == 0 ? 0 : 1;
  } catch (const TCLAP::ArgException& error) {
    std::fprintf(stderr, "%s\n", error.error().c_str());
    return 2;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}

} // namespace wg::test
