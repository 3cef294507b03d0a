// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

#include "wgStandinCache.h"

namespace wg {

/** \brief What a stand-in endpoint pretends to be. */
struct StandinSettings
{
  std::string kind; // encode, retrieve, rerank, generate or service
  int port = 0;
  int slots = 4;
  double stageMs = 5.0;   // a whole stage, or one token of a generation
  double loadLagMs = 0.0; // how old its report of its load may be
};

/** \brief Faults that a test asks for; each counts down to nothing. */
struct StandinFaults
{
  int failNext = 0;          // answer 500
  int hangNext = 0;          // never answer
  int wrongEchoNext = 0;     // answer under another request's id
  int breakStreamNext = 0;   // close a stream after a few tokens
  int endEarlyNext = 0;      // end a stream in order, but too soon
  int cutAnswerNext = 0;     // answer with half of the JSON
  double slowness = 1.0;     // times as slow as usual
  double loadMs = 0.0;       // how long it takes to carry an order out
  std::string badVersion;    // it never comes up in this version
  bool tellsVersion = false; // in each token
};

/** \class StandinEngine
 * \brief A small model engine or plain service on one port.
 *
 * A generation gives back its prompt in pieces of four characters, so that
 * anyone can tell whether an answer is whole and to whom it belongs.
 */
class StandinEngine
{
public:
  explicit StandinEngine(StandinSettings settings);
  ~StandinEngine();
  bool Start();
  void Stop();

private:
  using Request = httplib::Request;
  using Response = httplib::Response;

  /** \brief A place in the batch for as long as it lives. */
  class Place;

  void AddRoutes();
  void AddAdminRoutes();
  void OnStage(const Request& request, Response& response);
  void OnGenerate(const Request& request, Response& response);
  void OnOrder(const Request& request, Response& response);
  void OnExport(const Request& request, Response& response);
  void OnImport(const Request& request, Response& response);
  void OnFault(const Request& request, Response& response);
  nlohmann::json MakeAnswer(const nlohmann::json& body);
  bool TakeFault(int StandinFaults::*fault);
  double StepMs();
  bool IsCached(const std::string& prompt);
  void AddCacheRoutes();
  void CountRun(const Request& request);
  /** \brief Puts the ids on an answer; true when a fault makes them wrong. */
  bool Echo(const Request& request, Response& response);
  /** \brief Requests running, waiting, slots, and the pace in percent. */
  std::string LoadField();
  nlohmann::json Load();
  /** \brief False while an order is being carried out; then calls fail. */
  bool IsReady() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  bool RefuseWhileLoading(Response& response);
  /** \brief The version that it runs; told in each piece if a test asks. */
  std::string TellVersion(std::vector<std::string>& pieces);

  StandinSettings settings_;
  httplib::Server server_;
  std::thread thread_;
  std::atomic<bool> stopping_{ false };
  absl::Mutex mutex_;
  int running_ ABSL_GUARDED_BY(mutex_) = 0;
  std::multiset<int> waiting_ ABSL_GUARDED_BY(mutex_); // priorities
  StandinFaults faults_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, int> runs_ ABSL_GUARDED_BY(mutex_); // by request
  StandinCache cache_ ABSL_GUARDED_BY(mutex_);
  int toldRunning_ ABSL_GUARDED_BY(mutex_) = 0; // as last reported
  std::size_t toldWaiting_ ABSL_GUARDED_BY(mutex_) = 0;
  absl::Time toldAt_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  std::uint64_t fence_ ABSL_GUARDED_BY(mutex_) = 0;
  std::map<std::string, std::string> loaded_ ABSL_GUARDED_BY(mutex_) = {
    { "model", "base" },
    { "version", "v1" },
    { "role", "both" },
    { "adapter", "" }
  };
  std::map<std::string, std::string> ordered_ ABSL_GUARDED_BY(mutex_);
  absl::Time loadedAt_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  int whileLoading_ ABSL_GUARDED_BY(mutex_) = 0; // calls that came too soon
  int whileBusy_ ABSL_GUARDED_BY(mutex_) = 0;    // orders that came too soon
  bool leaving_ ABSL_GUARDED_BY(mutex_) = false;
  int cancelled_ ABSL_GUARDED_BY(mutex_) = 0;
};

} // namespace wg
