// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "absl/strings/string_view.h"
#include "absl/strings/strip.h"

#include "wgForwarder.h"
#include "wgTestCluster.h"
#include "wgTestPorts.h"

namespace wg::test {

inline std::string Local(int port)
{
  return absl::StrCat("127.0.0.1:", port);
}

/** \class PlatformCluster
 * \brief Real control and gateway processes; a test stands in for endpoints.
 */
class PlatformCluster
{
public:
  using Json = nlohmann::json;

  /** \param links whether other processes reach the control boxes over links
   * that a test can hold up
   * \param halls of the gateways; h1 where none is named
   * \param daemon the program at first, see SetDaemon
   * \param controlHalls of the control boxes; three in h1 where none is named
   * \param toleratedLosses of control boxes' disks at once
   * \param controlFlags that all control boxes get too
   */
  explicit PlatformCluster(
    int gateways, bool links = false, std::vector<std::string> halls = {},
    std::string daemon = {},
    std::vector<std::string> controlHalls = { "h1", "h1", "h1" },
    int toleratedLosses = 1, std::vector<std::string> controlFlags = {})
    : daemon_(std::move(daemon))
    , halls_(std::move(halls))
    , controlHalls_(std::move(controlHalls))
    , controlFlags_(std::move(controlFlags))
    , toleratedLosses_(toleratedLosses)
  {
    const int controls = static_cast<int>(controlHalls_.size());
    folder_ = std::filesystem::temp_directory_path() /
              absl::StrCat("wg-platform-", ports_.Take());
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
    for (int i = 0; i < controls; ++i) {
      peers_.push_back(ports_.Take());
      apis_.push_back(ports_.Take());
      controls_.emplace_back();
      if (links) {
        reached_.push_back(ports_.Take());
        links_.push_back(
          std::make_unique<Forwarder>(reached_.back(), peers_.back()));
      }
    }
    if (!links) {
      reached_ = peers_;
    }
    for (int i = 0; i < gateways; ++i) {
      listens_.push_back(ports_.Take());
      readies_.push_back(ports_.Take());
      gatewayPeers_.push_back(ports_.Take());
      relays_.push_back(ports_.Take());
      gateways_.emplace_back();
    }
    for (int i = 0; i < controls; ++i) {
      StartControl(i, true);
    }
    for (int i = 0; i < gateways; ++i) {
      StartGateway(i);
    }
  }
  ~PlatformCluster()
  {
    gateways_.clear();
    controls_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }

  /** \param more flags of this start alone */
  void StartControl(int index, bool founds,
                    const std::vector<std::string>& more = {})
  {
    std::vector<std::string> arguments = Common("control", index);
    arguments.push_back("--hall=" + controlHalls_[index]);
    for (const std::string& flag :
         { absl::StrCat("--peer=", Local(peers_[index])),
           absl::StrCat("--advertise=", Local(reached_[index])),
           absl::StrCat("--api=", Local(apis_[index])),
           absl::StrCat("--data=", (folder_ / Name("c", index)).string()),
           absl::StrCat("--found=", founds ? "true" : "false"),
           absl::StrCat("--tolerated-losses=", toleratedLosses_) }) {
      arguments.push_back(flag);
    }
    if (daemon_.empty()) {
      arguments.emplace_back("--halls=h1,h2");
    }
    arguments.insert(arguments.end(), controlFlags_.begin(),
                     controlFlags_.end());
    arguments.insert(arguments.end(), more.begin(), more.end());
    controls_[index] = std::make_unique<Process>(
      arguments, (folder_ / (Name("c", index) + ".log")).string());
  }
  /** \brief Starts one more control box, which the others are not told of;
   * without links.
   * \return its index
   */
  int AddControl()
  {
    peers_.push_back(ports_.Take());
    reached_ = peers_;
    apis_.push_back(ports_.Take());
    controlHalls_.push_back(controlHalls_.front());
    controls_.emplace_back();
    const int index = static_cast<int>(controls_.size()) - 1;
    StartControl(index, false);
    return index;
  }
  /** \brief Kills a control box; it starts again with an empty disk. */
  void LoseDisk(int index, const std::vector<std::string>& more = {})
  {
    controls_[index].reset();
    std::filesystem::remove_all(folder_ / Name("c", index));
    StartControl(index, false, more);
  }
  /** \brief What starts from now on is another program, with the flags that
   * the first programs know; empty: this one again.
   */
  void SetDaemon(std::string path) { daemon_ = std::move(path); }

  /** \brief For gateways that start from now on. */
  void SetSettleMs(int ms) { settleMs_ = ms; }

  /** \brief All gateways that start from now on get these flags too. */
  void SetGatewayFlags(
    std::function<std::vector<std::string>(int gateway)> flags)
  {
    gatewayFlags_ = std::move(flags);
  }

  void StartGateway(int index)
  {
    std::vector<std::string> arguments = Common("gateway", index);
    if (static_cast<std::size_t>(index) < halls_.size()) {
      arguments.push_back("--hall=" + halls_[index]);
    } else {
      arguments.push_back("--hall=h1");
    }
    for (const std::string& more :
         { absl::StrCat("--peer=", Local(gatewayPeers_[index])),
           absl::StrCat("--listen=", Local(listens_[index])),
           absl::StrCat("--ready=", Local(readies_[index])),
           std::string("--retry-slack=50"),
           absl::StrCat("--settle-ms=", settleMs_),
           std::string("--grace-s=8") }) {
      arguments.push_back(more);
    }
    if (daemon_.empty()) {
      arguments.push_back(absl::StrCat("--relay=", Local(relays_[index])));
      arguments.emplace_back("--stage-admission=chain");
      arguments.emplace_back("--cold-overrun=1.5");
      arguments.emplace_back("--cold-slack=5");
    }
    if (gatewayFlags_) {
      const auto more = gatewayFlags_(index);
      arguments.insert(arguments.end(), more.begin(), more.end());
    }
    gateways_[index] = std::make_unique<Process>(
      arguments, (folder_ / (Name("g", index) + ".log")).string());
  }

  /** What control boxes answer goes over one link of so many bytes a second;
   * what they ask of each other does not.
   */
  void LimitAnswers(double bytesPerSecond)
  {
    const auto rate = std::make_shared<LinkRate>(bytesPerSecond);
    for (const std::unique_ptr<Forwarder>& link : links_) {
      link->LimitAnswers(rate);
    }
  }

  void LiftLimit()
  {
    for (const std::unique_ptr<Forwarder>& link : links_) {
      link->LimitAnswers(nullptr);
    }
  }

  /** The status of what an operator's call to one control box got; 0: none. */
  int Publish(int control, const std::string& document)
  {
    httplib::Client client("127.0.0.1", apis_[control]);
    const auto reply = client.Put("/-/config", document, "application/json");
    return reply ? reply->status : 0;
  }
  /** The status of what an operator's order on a hall got; 0: none. */
  int OrderHall(int control, const std::string& hall, bool evacuate)
  {
    httplib::Client client("127.0.0.1", apis_[control]);
    const std::string path = "/-/evacuations/" + hall;
    const auto reply = evacuate ? client.Post(path) : client.Delete(path);
    return reply ? reply->status : 0;
  }
  std::string ReadBack(int control)
  {
    httplib::Client client("127.0.0.1", apis_[control]);
    const auto reply = client.Get("/-/config");
    return reply && reply->status == 200 ? reply->body : "";
  }
  int Ready(int gateway)
  {
    httplib::Client client("127.0.0.1", readies_[gateway]);
    const auto reply = client.Get("/-/readyz");
    return reply ? reply->status : 0;
  }
  httplib::Result Send(int gateway, const std::string& path,
                       const std::string& id, const std::string& key = "k1")
  {
    return SendBody(gateway, path, id, "body of " + id, key);
  }
  httplib::Result SendBody(int gateway, const std::string& path,
                           const std::string& id, const std::string& body,
                           const std::string& key = "k1")
  {
    return SendPrompt(gateway, path, id, body, "aa:60,bb:40", key);
  }
  /** \param prompt parts of a stream's prompt, "id:tokens,id:tokens" */
  httplib::Result SendPrompt(int gateway, const std::string& path,
                             const std::string& id, const std::string& body,
                             const std::string& prompt,
                             const std::string& key = "k1")
  {
    httplib::Client client("127.0.0.1", listens_[gateway]);
    client.set_read_timeout(20);
    httplib::Headers headers = { { "Host", "one.example" },
                                 { "X-Weirgate-Attempt-Id", id },
                                 { "X-Weirgate-Deadline-Ms", "15000" },
                                 { "X-Weirgate-Tenant", "forged" },
                                 { "Authorization", "Token " + key } };
    if (path.rfind("/s/", 0) == 0 || path.rfind("/r/", 0) == 0) {
      headers.emplace("X-Weirgate-Token-Usage", "100,20");
      headers.emplace("X-Weirgate-Prompt-Prefix", prompt);
      headers.emplace("X-Weirgate-Chunk-Count", "2,3");
      headers.emplace("X-Weirgate-Chunk-Key", "file");
    }
    return client.Post(path, headers, body, "text/plain");
  }
  void AwaitServing()
  {
    Await("the first document",
          [this] { return Publish(0, Document(1)) == 200; });
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
      Await("a ready gateway",
            [this, i] { return Ready(static_cast<int>(i)) == 200; });
    }
  }
  /** \param moreRoutes so many for others, 250 bytes each */
  static std::string Document(int number, int moreRoutes = 0)
  {
    Json document{
      { "version", number },
      { "routes",
        { { { "name", "plain" },
            { "host", "one.example" },
            { "pathPrefix", "/p/" },
            { "type", "non_idempotent" },
            { "timeoutMs", 15000 },
            { "service", "plain" },
            { "maxAttempts", 1 } },
          { { "name", "stream" },
            { "host", "one.example" },
            { "pathPrefix", "/s/" },
            { "type", "streaming" },
            { "timeoutMs", 15000 },
            { "latencyGoalMs", 9000 },
            { "service", "llm" },
            { "maxAttempts", 1 },
            { "phases",
              { { { "service", "enc" },
                  { "afterRevision", Json::array() },
                  { "sizeBytes", 1000 } },
                { { "service", "enc" },
                  { "afterRevision", { 0 } },
                  { "sizeBytes", 1000 } } } } } } },
      { "services",
        { { { "name", "plain" } },
          { { "name", "llm" }, { "engine", { { "capacity", 4 } } } },
          { { "name", "enc" },
            { "segments",
              { { "capacity", 1 },
                { "batch", 8 },
                { "callMs", 50.0 },
                { "itemMs", 1.0 },
                { "headroomMb", 1.0 } } } } } },
      { "tenants", { { { "name", "t1" }, { "apiKeys", { "k1" } } } } }
    };
    Json resumable = document["routes"][1];
    resumable["name"] = "resumable";
    resumable["pathPrefix"] = "/r/";
    resumable["streamResume"] = true;
    resumable["maxAttempts"] = 2;
    resumable["gapAimMs"] = 100;
    resumable["phases"] = Json::array();
    document["routes"].push_back(resumable);
    if (number > 1) {
      Json added = document["routes"][0];
      added["name"] = "added";
      added["pathPrefix"] = absl::StrCat("/p", number, "/");
      document["routes"].push_back(added);
    }
    std::uint64_t name = 1;
    for (int i = 0; i < moreRoutes; ++i) {
      Json route = document["routes"][0];
      name = name * 6364136223846793005U + 1442695040888963407U;
      route["name"] = absl::StrCat("r-", absl::Hex(name));
      route["pathPrefix"] = absl::StrCat("/", absl::Hex(name >> 16U), "/");
      document["routes"].push_back(route);
    }
    return document.dump();
  }

  Process& Control(int index) { return *controls_[index]; }
  Process& Gateway(int index) { return *gateways_[index]; }
  /** What other processes reach a control box over, if there are links. */
  Forwarder& ControlLink(int index) { return *links_[index]; }
  int Api(int index) const { return apis_[index]; }
  int Listen(int index) const { return listens_[index]; }
  /** What a gateway's metrics say; empty: no answer. */
  std::string Metrics(int gateway)
  {
    httplib::Client client("127.0.0.1", readies_[gateway]);
    const auto reply = client.Get("/metrics");
    return reply && reply->status == 200 ? reply->body : "";
  }
  /** How often a gateway has counted an event. */
  int Counter(int gateway, absl::string_view event)
  {
    const std::string text = Metrics(gateway);
    const std::string start =
      absl::StrCat("weirgate_gateway_total{event=\"", event, "\"} ");
    int value = 0;
    for (absl::string_view line : absl::StrSplit(text, '\n')) {
      if (absl::ConsumePrefix(&line, start)) {
        (void)absl::SimpleAtoi(line, &value);
      }
    }
    return value;
  }
  int FreePort() { return ports_.Take(); }
  /** A path of a file in the cluster's folder. */
  std::string FileAt(const std::string& name) const
  {
    return (folder_ / name).string();
  }
  int Gateways() const { return static_cast<int>(gateways_.size()); }
  static constexpr int Controls = 3;

private:
  static std::string Name(const std::string& kind, int index)
  {
    return absl::StrCat(kind, index);
  }
  std::vector<std::string> Common(const std::string& role, int index)
  {
    std::vector<std::string> controls;
    for (const int port : reached_) {
      controls.push_back(Local(port));
    }
    return { daemon_.empty() ? WG_DAEMON : daemon_, "--role=" + role,
             absl::StrCat("--box=", role, index),
             "--peer-key=a key of the tests",
             "--controls=" + absl::StrJoin(controls, ",") };
  }

  std::function<std::vector<std::string>(int)> gatewayFlags_;
  int settleMs_ = 300;
  std::string daemon_; // empty: the one that was built with the tests
  std::vector<std::string> halls_;
  std::vector<std::string> controlHalls_;
  std::vector<std::string> controlFlags_;
  int toleratedLosses_;
  TestPorts ports_;
  std::filesystem::path folder_;
  std::vector<int> peers_;
  std::vector<int> reached_; // where others reach the control boxes
  std::vector<std::unique_ptr<Forwarder>> links_;
  std::vector<int> apis_;
  std::vector<int> listens_;
  std::vector<int> readies_;
  std::vector<int> gatewayPeers_;
  std::vector<int> relays_;
  std::vector<std::unique_ptr<Process>> controls_;
  std::vector<std::unique_ptr<Process>> gateways_;
};

} // namespace wg::test
