// SPDX-License-Identifier: Apache-2.0
// Stand-ins for the servers of a pipeline of two stages before a model, and
// of a plain service; and callers with kept connections.
#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "wgReviewNet.h"
#include "wgReviewSite.h"

namespace wg::review {

/** \brief Bounds of the pages that the cases need. */
constexpr long ContactMs = 3000;

/** \brief A result of a stage, as its maker knows it. */
struct Result
{
  std::string request;
  int stage = 0;
  int segment = 0;
};

/** \brief What all stand-ins know together; for judging only. */
class Ledger
{
public:
  explicit Ledger(Record& record)
    : record_(record)
  {
  }

  void NoteKey(const std::string& request, const std::string& key);
  bool IsKeyOf(const std::string& request, const std::string& key);
  void NoteResult(const std::string& handle, const Result& result);
  void Free(const std::string& handle);
  /** \brief Why these can't be the inputs of the request; empty: they are.
   * "gone": one of them is not there any more.
   */
  std::string Judge(const std::string& request, int stage, int count,
                    const std::vector<std::string>& handles);
  /** \brief A piece or a request got inputs of another one. */
  void NoteForeign(const std::string& what);
  int Foreign() const { return foreign_; }

  void NoteArrival(const std::string& request);
  bool HasArrived(const std::string& request);

private:
  Record& record_;
  std::mutex mutex_;
  std::map<std::string, Result> results_;
  std::set<std::string> freed_;
  std::map<std::string, std::string> keys_;
  std::set<std::string> arrived_;
  std::atomic<int> foreign_{ 0 };
};

/** \brief How a server is. */
struct ServerPlan
{
  std::string service;
  std::string zone;
  std::string ip;
  int port = 0;
  int slots = 1;
  int queue = 2;
  int number = 0;             // of its service
  std::string version = "v1"; // of its software
};

/** \brief A connection as its server sees it. */
struct ServedConnection
{
  Socket socket;
  std::thread thread;
  std::string extra; // an answer that comes once more, late
};

/** \brief Listens, registers and serves one request after the other on each
 * connection.
 */
class Server
{
public:
  Server(Site& site, ServerPlan plan, Ledger& ledger, Record& record);
  virtual ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  void Begin();
  void Stop();
  /** \brief Tells that it ends, and serves on; whether it was acknowledged.
   */
  bool Leave();
  const std::string& Id() const { return id_; }
  const ServerPlan& Plan() const { return plan_; }

protected:
  /** \return false to close the connection */
  virtual bool Serve(const Message& request, ServedConnection& from) = 0;

  std::string Address() const;
  std::string AnswerTo(const Message& request, int status,
                       const std::string& fields,
                       const std::string& body) const;
  /** \brief Waits for a slot; false where there is no room to wait. */
  bool TakeSlot();
  void GiveSlot();
  std::string Load();

  Ledger& ledger_;
  Record& record_;

private:
  void Accept();
  void ServeAll(ServedConnection& connection);
  void Beat();

  Site& site_;
  ServerPlan plan_;
  std::string id_;
  long bornMs_;
  std::atomic<bool> ending_{ false };
  std::atomic<bool> hasLeft_{ false };
  std::mutex beatMutex_; // while a heartbeat is on its way
  Socket listener_;
  std::mutex mutex_;
  std::condition_variable changed_;
  int running_ = 0;
  int waiting_ = 0;
  std::list<ServedConnection> connections_;
  std::thread acceptor_;
  std::thread beats_;
};

/** \brief What a faulty server does with an answer to a call of a stage. */
enum class Fault
{
  None,
  Twice,   // the same answer comes a second time, late
  Spoiled, // a reason that is no text
  Long     // handles of 70,000 bytes
};

class StageServer : public Server
{
public:
  using ChooseFault = std::function<Fault(const StageServer& server)>;

  StageServer(Site& site, ServerPlan plan, Ledger& ledger, Record& record,
              ChooseFault choose)
    : Server(site, std::move(plan), ledger, record)
    , choose_(std::move(choose))
  {
  }
  ~StageServer() override { Stop(); }

  double callMs = 150.0;
  double itemMs = 16.0;

private:
  bool Serve(const Message& request, ServedConnection& from) override;
  bool Run(const Message& request, ServedConnection& from);
  nlohmann::json MakeItem(const nlohmann::json& item);

  ChooseFault choose_;
  std::atomic<unsigned> made_{ 0 };
};

class ModelServer : public Server
{
public:
  using Server::Server;
  ~ModelServer() override { Stop(); }

private:
  bool Serve(const Message& request, ServedConnection& from) override;
};

class PlainServer : public Server
{
public:
  using Server::Server;
  ~PlainServer() override { Stop(); }

  int workMs = 100;

private:
  bool Serve(const Message& request, ServedConnection& from) override;
};

/** \brief What became of the requests of all callers. */
struct Outcomes
{
  std::atomic<int> sent{ 0 };
  std::atomic<int> served{ 0 };
  std::atomic<int> refused{ 0 };
  std::atomic<int> failed{ 0 };
  /** Taken from a kept connection by a machine in touch, passed on to a sound
   * server, closed without a byte of an answer.
   */
  std::atomic<int> lost{ 0 };
};

/** \brief A caller with a connection that it keeps. */
class Caller
{
public:
  Caller(Site& site, std::size_t gateway, std::string kind, int pauseMs,
         Ledger& ledger, Outcomes& outcomes, Record& record);
  ~Caller();
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  void Begin();
  /** \brief The gateway is in touch from then on, as far as the site knows;
   * one that ended by itself counts as running.
   */
  void SetInTouchFrom(long ms) { inTouchFrom_ = ms; }

private:
  void Run();
  std::string MakeRequest(const std::string& id, const std::string& key) const;
  void Ask();

  Site& site_;
  std::string ip_;
  std::string name_;
  std::string kind_;
  int pauseMs_;
  Ledger& ledger_;
  Outcomes& outcomes_;
  Record& record_;
  Socket socket_;
  MessageReader reader_;
  int answered_ = 0; // on this connection
  std::atomic<long> inTouchFrom_{ 0 };
  std::atomic<bool> ending_{ false };
  std::thread thread_;
};

/** \brief A pipeline on a small site: three control boxes, three gateways,
 * servers in three zones.
 */
class Pipeline
{
public:
  Pipeline(Site& site, Record& record, const StageServer::ChooseFault& choose);

  /** \brief Until all are ready and known. */
  void Begin();
  void AddCallers(const std::string& kind, int perGateway, int pauseMs);
  void End();

  Ledger& Known() { return ledger_; }
  Outcomes& Results() { return outcomes_; }

private:
  static std::string Document();

  Site& site_;
  Record& record_;
  Ledger ledger_;
  Outcomes outcomes_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::vector<std::unique_ptr<Caller>> callers_;
};

/** \brief 1 to 16 hex digits that no other call gives. */
std::string MakeId();

} // namespace wg::review
