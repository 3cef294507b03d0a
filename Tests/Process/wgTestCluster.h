// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>
#include <sys/types.h>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

#include "wgChecker.h"
#include "wgForwarder.h"
#include "wgPeer.pb.h"
#include "wgPeerClient.h"
#include "wgTestPorts.h"

namespace wg::test {

/** \brief Waits for a condition; false when it does not come true. */
[[nodiscard]] bool WaitFor(const std::function<bool()>& condition,
                           absl::Duration limit = absl::Seconds(60));

/** \brief Waits for a condition; throws when it does not come true. */
void Await(absl::string_view what, const std::function<bool()>& condition);

/** \class Process
 * \brief A child process that a test started, and ends by its number.
 */
class Process
{
public:
  Process(std::vector<std::string> arguments, const std::string& logFile);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  void Signal(int number) const;
  void Kill();
  /** \brief Waits for its end; its exit code, or -1. */
  int Wait();
  bool IsRunning();
  long ResidentKilobytes() const;
  /** \brief The most that it had resident so far. */
  long PeakKilobytes() const;
  double ProcessorSeconds() const;

private:
  long ReadKilobytes(absl::string_view field) const;

  pid_t pid_ = -1;
  int status_ = 0;
  bool ended_ = false;
};

/** \brief How a test cluster is laid out. */
struct ClusterLayout
{
  int controls = 3;
  int voters = 3;            // of the control boxes; the others are spares
  int spareAfterSeconds = 0; // 0: never
  int entries = 3;
  int generators = 3;
  int services = 2;
  int slots = 8;             // of each endpoint
  int compactAfter = 50;     // changes between a control box's snapshots
  int connections = 64;      // of each entry
  int lifetimeSeconds = 300; // of the endpoints, at the most
  double stageMs = 2.0;
  int deadlineMs = 20000; // far off: no verdict is to hang on it
};

/** \class TestCluster
 * \brief Real processes on loopback: stand-ins, control and entry boxes.
 *
 * Entries reach control boxes, and these each other, through forwarders, so
 * that a test can cut a control box off.
 */
class TestCluster
{
public:
  explicit TestCluster(ClusterLayout layout = {});
  ~TestCluster();

  void StartControl(int index);
  void StartEntry(int index);
  Process& Control(int index) { return *controls_[Slot(index)]; }
  Process& Entry(int index) { return *entries_[Slot(index)]; }
  Process& Endpoints() { return *endpoints_; }
  Forwarder& ControlWire(int index) { return *wires_[Slot(index)]; }
  std::string DataFolder(int index) const;
  std::string LogOf(const std::string& name) const;

  /** \brief Sends one request through an entry and records it. */
  CallerRecord Call(int entry, const std::string& pipeline,
                    const std::string& input, const std::string& key = "",
                    int deadlineMs = 0);
  /** \brief Sets an account's weight; what the operator is told. */
  wire::ChangeResult SetWeight(double weight, std::uint64_t base = 0,
                               const std::string& id = "",
                               absl::Duration limit = absl::Seconds(20));
  wire::ChangeResult Send(const wire::Change& change,
                          absl::Duration limit = absl::Seconds(20));
  /** \brief Runs the operators' client; its exit code. It writes to the log
   * "client".
   */
  int RunClient(const std::vector<std::string>& command);
  nlohmann::json StatusOfControl(int index);
  nlohmann::json StatusOfEntry(int index);
  /** \brief The index of the control box that leads, or -1. */
  int FindLeader();
  std::uint64_t RevisionAtEntry(int index);
  double WeightAtEntry(int index);
  int VoterCount();
  /** \brief Whether there are all voters, and each is a replica that runs now:
   * after a lost disk the old one counts among them for a while.
   */
  bool AllVote();
  /** \brief The boxes, by index, that run and have no vote. */
  std::vector<int> Spares();

  /** \brief Adds a box to the configuration that does not run. */
  void AddBox(const std::string& name);
  /** \brief Adds many such boxes with one change. */
  void AddBoxes(int count);
  /** \brief What control boxes answer goes over one link of so many bytes a
   * second.
   */
  void LimitAnswers(double bytesPerSecond);
  /** \brief Adds an endpoint that a test serves itself, as "group-port". */
  void AddEndpointAt(const std::string& group, int port);
  /** \brief Whether entry 0 has got a load report of an endpoint. */
  bool EntryHears(const std::string& endpoint);

  /** \brief Asks an endpoint for a fault, or to leave. */
  void Post(int endpointPort, const std::string& path,
            const std::string& body);
  nlohmann::json Get(int port, const std::string& path);
  int PortOf(const std::string& endpoint) const;
  std::vector<RunRecord> RunsOf(const std::vector<std::string>& endpoints);
  std::vector<std::string> EndpointsOf(const std::string& group) const;
  int PlatformPort() const { return platformPort_; }
  int EntryPort(int index) const { return entryPorts_[Slot(index)]; }
  int EntryPeerPort(int index) const { return entryPeerPorts_[Slot(index)]; }
  int ControlPort(int index) const { return controlPorts_[Slot(index)]; }

private:
  static std::size_t Slot(int index)
  {
    return static_cast<std::size_t>(index);
  }
  void StartEndpoints();
  void AwaitEndpoints();
  void FoundAndConfigure();
  void AddEndpoint(const std::string& group, const std::string& kind,
                   const std::string& hall, double ms);
  std::string MakeConfig() const;
  void Apply();
  nlohmann::json StatusAt(int port);
  std::string ControlAddresses() const;
  std::set<std::string> VoterIds();
  std::vector<std::string> CommonArguments(const std::string& name) const;

  struct EndpointLine
  {
    std::string name;
    std::string group;
    std::string kind;
    std::string hall;
    int port = 0;
    double ms = 0.0;
  };

  ClusterLayout layout_;
  TestPorts ports_;
  std::string folder_;
  std::vector<EndpointLine> endpointLines_;
  std::vector<std::string> boxLines_;
  int platformPort_ = 0;
  std::vector<int> controlPorts_;
  std::vector<int> wirePorts_;
  std::vector<int> entryPorts_;
  std::vector<int> entryPeerPorts_;
  std::unique_ptr<Process> endpoints_;
  std::vector<std::unique_ptr<Process>> controls_;
  std::vector<std::unique_ptr<Forwarder>> wires_;
  std::vector<std::unique_ptr<Process>> entries_;
  std::unique_ptr<PeerClient> operator_;
};

/** \brief The text that the stand-in engine makes of an input. */
std::string ExpectedText(const std::string& input, std::size_t tokens);

} // namespace wg::test
