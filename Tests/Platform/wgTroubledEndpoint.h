// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <string>

#include "wgScriptedEndpoint.h"

namespace wg::test {

/** \class TroubledEndpoint
 * \brief An endpoint of plain requests that answers soundly, and while it is
 * in trouble sends some requests answers that are broken: statuses that are
 * none, transfer codings that nobody asked for, heads that can't be read,
 * answers without a length that a reset ends, most of them before the request
 * was read.
 */
class TroubledEndpoint
{
public:
  TroubledEndpoint(std::string id, std::uint64_t seed);

  /** \brief From any thread. */
  void SetInTrouble(bool inTrouble) { inTrouble_ = inTrouble; }
  bool Register(int apiPort, const std::string& service)
  {
    return endpoint_.Register(apiPort, service);
  }
  /** \brief How often each request was run. */
  std::map<std::string, int> RunsByRequest();
  /** \brief Answers that were broken. */
  int Broken() const { return broken_; }

private:
  /** What is broken about the next answer. */
  enum class Fault
  {
    None,
    Status,
    Coding,
    Head,
    Cut,     // after the request was read
    EarlyCut // before
  };

  Fault DrawFault();
  std::optional<ScriptedAnswer> AnswerEarly(const HttpRequest& head);
  ScriptedAnswer Answer(const HttpRequest& request);
  ScriptedAnswer MakeBroken(Fault fault, const std::string& id);

  std::string id_;
  std::atomic<bool> inTrouble_{ false };
  std::atomic<int> broken_{ 0 };
  std::mutex mutex_;
  std::mt19937_64 random_;              // under mutex_
  std::map<std::string, Fault> faults_; // drawn by request, under mutex_
  std::map<std::string, int> runs_;     // under mutex_
  ScriptedEndpoint endpoint_;
};

} // namespace wg::test
