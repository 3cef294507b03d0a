// SPDX-License-Identifier: Apache-2.0
#include "wgSettings.h"

#include <algorithm>
#include <array>
#include <cstdlib>

#include <tclap/CmdLine.h>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "absl/strings/str_split.h"

#include "wgSettingsFile.h"

extern char** environ;

namespace wg {
namespace {

constexpr std::size_t MinKeyBytes = 8;
constexpr absl::string_view EnvironmentPrefix = "WEIRGATE_";
constexpr const char* SettingsVariable = "WEIRGATE_SETTINGS";
/** A gateway ends before the platform would kill it. */
constexpr absl::Duration GraceMargin = absl::Milliseconds(600);

std::string EnvironmentName(const std::string& flag)
{
  return absl::StrCat(
    EnvironmentPrefix,
    absl::AsciiStrToUpper(absl::StrReplaceAll(flag, { { "-", "_" } })));
}

/** TCLAP takes "--name value"; people write "--name=value" as well. */
std::vector<std::string> SplitFlags(int argc, char** argv)
{
  std::vector<std::string> words;
  for (int i = 0; i < argc; ++i) {
    const std::string word = argv[i];
    const std::size_t equals = word.find('=');
    const bool joined =
      word.compare(0, 2, "--") == 0 && equals != std::string::npos;
    if (joined) {
      words.push_back(word.substr(0, equals));
      words.push_back(word.substr(equals + 1));
    } else {
      words.push_back(word);
    }
  }
  return words;
}

/** All flags of the daemon. */
class Flags
{
public:
  explicit Flags(SettingsMap file)
    : file_(std::move(file))
    , line_("Serves multi-stage model pipelines: one process of weirgate.",
            ' ', WG_VERSION)
    , role_(Text("role", "entry, gateway or control", ""))
    , box_(Text("box", "this box's name", ""))
    , hall_(Text("hall", "this box's hall", ""))
    , listen_(Text("listen", "entry, gateway: IP:port for callers", ""))
    , ready_(Text("ready",
                  "gateway: IP:port where it tells whether it is "
                  "ready",
                  ""))
    , relay_(Text("relay",
                  "gateway: IP:port where it calls endpoints for boxes that "
                  "reach none; empty: it does not",
                  ""))
    , endpointRoutes_(
        Text("endpoint-routes",
             "gateway: a file with two addresses a line, the one that an "
             "endpoint registers and the one under which this box reaches "
             "it; empty: each is reached where it registers",
             ""))
    , metrics_(Text("metrics", "IP:port for metrics; empty: none", ""))
    , api_(Text("api",
                "control: IP:port for endpoints that register and "
                "operators' documents; empty: none",
                ""))
    , found_(Text("found",
                  "control: true lets the first of --controls found "
                  "the cluster if its folder is fresh",
                  "false"))
    , controlsPort_(
        Text("controls-port", "port in place of those in --controls", ""))
    , peer_(Text("peer", "IP:port for weirgate's own processes", ""))
    , advertise_(Text("advertise",
                      "control: IP:port under which others "
                      "reach --peer; empty: the same",
                      ""))
    , controls_(Text("controls",
                     "peer addresses of all control boxes, "
                     "separated by commas",
                     ""))
    , seeds_(Text("seeds",
                  "entry: peer addresses of other entries, "
                  "separated by commas",
                  ""))
    , platform_(Text("platform",
                     "entry: IP:port of the platform's list of "
                     "boxes",
                     ""))
    , data_(Text("data", "control: the data folder", ""))
    , peerKey_(Text("peer-key",
                    "key shared by weirgate's processes; better "
                    "given in the environment",
                    ""))
    , operators_(Text("operators",
                      "operators' keys as name=key, separated "
                      "by commas; better given in the "
                      "environment",
                      ""))
    , log_(Text("log", "text or json", "text"))
    , voters_(Number("voters", "control: wanted voters, 1, 3 or 5", 3))
    , losses_(Number("tolerated-losses",
                     "control: boxes with a disk that may be lost at once, "
                     "0 to 2, in place of --voters; -1: not given",
                     -1))
    , halls_(Text("halls",
                  "control: all halls that operators may name in orders, "
                  "separated by commas; empty: any",
                  ""))
    , changeLevel_(Number("change-level",
                          "control: newest kind of changes that it takes part "
                          "in, 0 to 1; 1: orders on halls",
                          static_cast<long>(OwnChangeLevel)))
    , admission_(Text("stage-admission",
                      "gateway: who judges whether a request's stages can be "
                      "served in time: box (each box by the waits it was "
                      "told) or chain (the coordinators of all its pools)",
                      "box"))
    , coldOverrun_(Real("cold-overrun",
                        "gateway: how many times the rate of their service "
                        "cold endpoints bear for a second, 1 to 100",
                        1))
    , coldSlack_(
        Real("cold-slack", "gateway: requests that they bear beyond it", 0))
    , cpuShare_(Text("cpu-share",
                     "gateway: this box's share of a core, such as 0.09; "
                     "empty: not told",
                     ""))
    , retryPercent_(Real("retry-ratio",
                         "gateway: repetitions at a service, as a share of "
                         "its requests",
                         0.1))
    , retrySlack_(Real("retry-slack",
                       "gateway: repetitions at a service beyond the ratio",
                       10))
    , retryWindow_(Real("retry-window-s",
                        "gateway: seconds over which repetitions count", 10))
    , graceS_(Real("grace-s",
                   "seconds after which a stop ends it; 0: as "
                   "--stop-limit-ms says, 4 for control",
                   0))
    , heartbeat_(Number("heartbeat-ms",
                        "control: period of endpoints' heartbeats, 1 to "
                        "600000",
                        1000))
    , spare_(Number("spare-after-s",
                    "control: a voter silent for so many seconds gives its "
                    "vote to a box that asks to join; 0: never",
                    60))
    , compact_(Number("compact-after",
                      "control: changes between snapshots, "
                      "10 to 1000000",
                      2000))
    , connections_(Number("max-connections",
                          "entry: callers' connections, "
                          "1 to 4000",
                          512))
    , body_(Number("max-body-bytes",
                   "entry: bytes of a request's body, 1 "
                   "to 67108864",
                   1 << 20))
    , settle_(Number("settle-ms",
                     "entry: time after a stop was asked for in "
                     "which requests are still taken, 0 to "
                     "600000",
                     3000))
    , stopLimit_(Number("stop-limit-ms",
                        "entry: longest wait for running "
                        "requests at a stop, 0 to 86400000",
                        60000))
    , check_("", "check", "only check the settings", line_)
  {
  }

  Outcome<Done> Parse(int argc, char** argv)
  {
    line_.setExceptionHandling(false);
    try {
      std::vector<std::string> words = SplitFlags(argc, argv);
      line_.parse(words);
    } catch (TCLAP::ArgException& error) {
      return Error{ absl::StrCat(error.error(), " (", error.argId(),
                                 "); --help lists the settings.") };
    } catch (TCLAP::ExitException& exit) {
      std::exit(exit.getExitStatus());
    }
    if (auto checked = RefuseUnknownFileLines(); !Succeeded(checked)) {
      return checked;
    }
    return RefuseUnknownEnvironment();
  }

  Outcome<DaemonSettings> Build();

private:
  using TextFlag = TCLAP::ValueArg<std::string>;
  using NumberFlag = TCLAP::ValueArg<long>;
  using RealFlag = TCLAP::ValueArg<double>;

  std::string Remember(const std::string& name)
  {
    names_.push_back(EnvironmentName(name));
    return name;
  }

  /** From the environment, else from the file; null if in neither. */
  const char* Given(const std::string& name)
  {
    const char* set = std::getenv(EnvironmentName(Remember(name)).c_str());
    auto line = file_.find(name);
    return set != nullptr || line == file_.end() ? set : line->second.c_str();
  }

  TextFlag Text(const std::string& name, const std::string& help,
                const std::string& fallback)
  {
    const char* set = Given(name);
    return TextFlag("", name, help, false,
                    set == nullptr ? fallback : std::string(set), "text",
                    line_);
  }

  NumberFlag Number(const std::string& name, const std::string& help,
                    long fallback)
  {
    const char* set = Given(name);
    long value = fallback;
    if (set != nullptr && !absl::SimpleAtoi(set, &value)) {
      badNumber_ = EnvironmentName(name);
    }
    return NumberFlag("", name, help, false, value, "number", line_);
  }

  RealFlag Real(const std::string& name, const std::string& help,
                double fallback)
  {
    const char* set = Given(name);
    double value = fallback;
    if (set != nullptr && !absl::SimpleAtod(set, &value)) {
      badNumber_ = EnvironmentName(name);
    }
    return RealFlag("", name, help, false, value, "number", line_);
  }

  Outcome<Done> RefuseUnknownFileLines() const;
  Outcome<Done> RefuseUnknownEnvironment() const;
  Outcome<Done> CheckRange(const NumberFlag& flag, long least,
                           long most) const;
  Outcome<Done> CheckCommon() const;
  Outcome<Done> CheckRanges() const;
  Outcome<Done> CheckEntry() const;
  Outcome<Done> CheckControl() const;
  Outcome<KeyRing> ReadKeys() const;
  std::vector<std::string> List(const TextFlag& flag) const;
  std::vector<std::string> Controls() const;
  Outcome<Done> CheckGateway() const;
  Outcome<Done> FillGateway(const KeyRing& keys, DaemonSettings& settings);
  Outcome<Done> FillEntry(const KeyRing& keys, DaemonSettings& settings);
  Outcome<Done> FillControl(const KeyRing& keys, DaemonSettings& settings);

  // Before the flags, whose making fills them.
  SettingsMap file_;
  std::vector<std::string> names_;
  std::string badNumber_;
  TCLAP::CmdLine line_;
  TextFlag role_;
  TextFlag box_;
  TextFlag hall_;
  TextFlag listen_;
  TextFlag ready_;
  TextFlag relay_;
  TextFlag endpointRoutes_;
  TextFlag metrics_;
  TextFlag api_;
  TextFlag found_;
  TextFlag controlsPort_;
  TextFlag peer_;
  TextFlag advertise_;
  TextFlag controls_;
  TextFlag seeds_;
  TextFlag platform_;
  TextFlag data_;
  TextFlag peerKey_;
  TextFlag operators_;
  TextFlag log_;
  NumberFlag voters_;
  NumberFlag losses_;
  TextFlag halls_;
  NumberFlag changeLevel_;
  TextFlag admission_;
  RealFlag coldOverrun_;
  RealFlag coldSlack_;
  TextFlag cpuShare_;
  RealFlag retryPercent_;
  RealFlag retrySlack_;
  RealFlag retryWindow_;
  RealFlag graceS_;
  NumberFlag heartbeat_;
  NumberFlag spare_;
  NumberFlag compact_;
  NumberFlag connections_;
  NumberFlag body_;
  NumberFlag settle_;
  NumberFlag stopLimit_;
  TCLAP::SwitchArg check_;
};

Outcome<Done> Flags::RefuseUnknownFileLines() const
{
  for (const auto& [name, value] : file_) {
    const bool known = std::find(names_.begin(), names_.end(),
                                 EnvironmentName(name)) != names_.end();
    if (!known) {
      return Error{ absl::StrCat("\"", name,
                                 "\" in the settings file is no setting of "
                                 "weirgated; --help lists them.") };
    }
  }
  return Done{};
}

Outcome<Done> Flags::RefuseUnknownEnvironment() const
{
  for (char** variable = environ; *variable != nullptr; ++variable) {
    const absl::string_view text(*variable);
    const std::string name(text.substr(0, text.find('=')));
    const bool ours =
      name.compare(0, EnvironmentPrefix.size(), EnvironmentPrefix.data(),
                   EnvironmentPrefix.size()) == 0;
    const bool known =
      name == SettingsVariable ||
      std::find(names_.begin(), names_.end(), name) != names_.end();
    if (ours && !known) {
      return Error{ absl::StrCat("The environment variable ", name,
                                 " is no setting of weirgated; unset it.") };
    }
  }
  if (!badNumber_.empty()) {
    return Error{ absl::StrCat("The environment variable ", badNumber_,
                               " must be a whole number; correct it.") };
  }
  return Done{};
}

Outcome<Done> Flags::CheckRange(const NumberFlag& flag, long least,
                                long most) const
{
  const long value = flag.getValue();
  if (value < least || value > most) {
    return Error{ absl::StrCat("--", flag.getName(), " is ", value,
                               "; give a number from ", least, " to ", most,
                               ".") };
  }
  return Done{};
}

Outcome<Done> Flags::CheckRanges() const
{
  const std::array<Outcome<Done>, 10> checks = {
    CheckRange(losses_, -1, 2),
    CheckRange(heartbeat_, 1, 600000),
    CheckRange(voters_, 1, 5),
    CheckRange(compact_, 10, 1000000),
    CheckRange(spare_, 0, 86400),
    CheckRange(connections_, 1, 4000),
    CheckRange(body_, 1, 64L << 20),
    CheckRange(settle_, 0, 600000),
    CheckRange(stopLimit_, 0, 86400000),
    CheckRange(changeLevel_, 0, static_cast<long>(OwnChangeLevel)),
  };
  for (const Outcome<Done>& check : checks) {
    if (!Succeeded(check)) {
      return check;
    }
  }
  return Done{};
}

std::vector<std::string> Flags::List(const TextFlag& flag) const
{
  return absl::StrSplit(flag.getValue(), ',', absl::SkipEmpty());
}

Outcome<Done> Flags::CheckCommon() const
{
  const auto text = [](const TextFlag& flag) { return flag.getValue(); };
  for (const TextFlag* flag : { &box_, &hall_, &peer_, &peerKey_ }) {
    if (text(*flag).empty()) {
      return Error{ absl::StrCat("--", flag->getName(), " must be given, or ",
                                 EnvironmentName(flag->getName()), ".") };
    }
  }
  if (text(peerKey_).size() < MinKeyBytes) {
    return Error{ absl::StrCat("--peer-key is shorter than ", MinKeyBytes,
                               " bytes; choose a longer one.") };
  }
  if (text(log_) != "text" && text(log_) != "json") {
    return Error{ absl::StrCat("--log is \"", text(log_),
                               "\"; use text or json.") };
  }
  std::vector<std::string> addresses = Controls();
  const std::vector<std::string> seeds = List(seeds_);
  addresses.insert(addresses.end(), seeds.begin(), seeds.end());
  addresses.push_back(text(peer_));
  for (const TextFlag* flag :
       { &platform_, &metrics_, &api_, &ready_, &relay_ }) {
    if (!text(*flag).empty()) {
      addresses.push_back(text(*flag));
    }
  }
  for (const std::string& address : addresses) {
    if (auto parsed = ParseSocketAddress(address); !Succeeded(parsed)) {
      return Error{ Message(parsed) };
    }
  }
  return CheckRanges();
}

Outcome<Done> Flags::CheckEntry() const
{
  const std::string listen = listen_.getValue();
  if (auto parsed = ParseSocketAddress(listen); !Succeeded(parsed)) {
    return Error{ absl::StrCat("--listen: ", Message(parsed)) };
  }
  if (List(controls_).empty()) {
    return Error{ "--controls must name at least one control box." };
  }
  return Done{};
}

Outcome<Done> Flags::CheckControl() const
{
  if (data_.getValue().empty()) {
    return Error{ "--data must name the data folder of a control box." };
  }
  if (voters_.getValue() % 2 == 0) {
    return Error{ "--voters must be 1, 3 or 5." };
  }
  return Done{};
}

Outcome<KeyRing> Flags::ReadKeys() const
{
  KeyRing keys;
  for (const std::string& pair : List(operators_)) {
    const std::size_t equals = pair.find('=');
    const bool sound = equals != std::string::npos && equals > 0 &&
                       pair.size() - equals - 1 >= MinKeyBytes &&
                       pair.substr(0, equals) != PeerName;
    if (!sound) {
      return Error{ absl::StrCat("--operators must be written as name=key "
                                 "with keys of ",
                                 MinKeyBytes,
                                 " bytes or more, and no operator may be "
                                 "named peer.") };
    }
    keys[pair.substr(0, equals)] = pair.substr(equals + 1);
  }
  keys[std::string(PeerName)] = peerKey_.getValue();
  return keys;
}

std::vector<std::string> Flags::Controls() const
{
  return AddressList(controls_.getValue(), controlsPort_.getValue());
}

Outcome<Done> Flags::CheckGateway() const
{
  if (ready_.getValue().empty()) {
    return Error{ "--ready must name the address of a gateway's readiness." };
  }
  const bool sound = retryPercent_.getValue() >= 0 &&
                     retrySlack_.getValue() >= 0 &&
                     retryWindow_.getValue() > 0 && graceS_.getValue() >= 0;
  if (!sound) {
    return Error{ "--retry-ratio, --retry-slack and --grace-s must not be "
                  "below 0, and --retry-window-s must be above it." };
  }
  const std::string& admission = admission_.getValue();
  if (admission != "box" && admission != "chain") {
    return Error{ "--stage-admission must be box or chain." };
  }
  constexpr double mostOverrun = 100;
  const bool isOverrunSound =
    coldOverrun_.getValue() >= 1 && coldOverrun_.getValue() <= mostOverrun;
  if (!isOverrunSound || coldSlack_.getValue() < 0) {
    return Error{ "--cold-overrun must be a number from 1 to 100, and "
                  "--cold-slack must not be below 0." };
  }
  return CheckEntry();
}

Outcome<Done> Flags::FillEntry(const KeyRing& keys, DaemonSettings& settings)
{
  EntrySettings entry;
  entry.box = box_.getValue();
  entry.hall = hall_.getValue();
  entry.listen = listen_.getValue();
  entry.peerAddress = peer_.getValue();
  entry.keys = keys;
  entry.controls = Controls();
  entry.seeds = List(seeds_);
  entry.platform = platform_.getValue();
  entry.limits.maxConnections =
    static_cast<std::size_t>(connections_.getValue());
  entry.limits.maxBodyBytes = static_cast<std::size_t>(body_.getValue());
  entry.settleTime = absl::Milliseconds(settle_.getValue());
  entry.stopLimit = absl::Milliseconds(stopLimit_.getValue());
  settings.role = std::move(entry);
  return CheckEntry();
}

Outcome<Done> Flags::FillGateway(const KeyRing& keys, DaemonSettings& settings)
{
  GatewaySettings gateway;
  gateway.box = box_.getValue();
  gateway.hall = hall_.getValue();
  gateway.listen = listen_.getValue();
  gateway.ready = ready_.getValue();
  gateway.relay = relay_.getValue();
  gateway.metrics = metrics_.getValue();
  gateway.peerAddress = peer_.getValue();
  gateway.keys = keys;
  gateway.controls = Controls();
  gateway.retryRules.ratio = retryPercent_.getValue();
  gateway.retryRules.slack = retrySlack_.getValue();
  gateway.retryRules.window = absl::Seconds(retryWindow_.getValue());
  gateway.admission = admission_.getValue() == "chain"
                        ? StageAdmission::ByChain
                        : StageAdmission::ByBox;
  gateway.coldBounds.overrun = coldOverrun_.getValue();
  gateway.coldBounds.slack = coldSlack_.getValue();
  gateway.cpuShare = cpuShare_.getValue();
  if (!endpointRoutes_.getValue().empty()) {
    auto routes = ReadEndpointRoutes(endpointRoutes_.getValue());
    if (!Succeeded(routes)) {
      return Error{ Message(routes) };
    }
    gateway.routes = std::move(Value(routes));
  }
  gateway.isRestarted = found_.getValue() != "true";
  gateway.settleTime = absl::Milliseconds(settle_.getValue());
  gateway.stopLimit = graceS_.getValue() > 0
                        ? absl::Seconds(graceS_.getValue()) - GraceMargin
                        : absl::Milliseconds(stopLimit_.getValue());
  settings.role = std::move(gateway);
  return CheckGateway();
}

Outcome<Done> Flags::FillControl(const KeyRing& keys, DaemonSettings& settings)
{
  // Heartbeats that may be missed before an endpoint counts as silent.
  constexpr int missedHeartbeats = 4;
  ControlSettings control;
  control.box = box_.getValue();
  control.hall = hall_.getValue();
  control.listen = peer_.getValue();
  control.advertise =
    advertise_.getValue().empty() ? peer_.getValue() : advertise_.getValue();
  control.dataFolder = data_.getValue();
  control.keys = keys;
  control.controls = Controls();
  const long losses = losses_.getValue();
  control.wantedVoters =
    static_cast<std::size_t>(losses < 0 ? voters_.getValue() : 2 * losses + 1);
  control.standbyAfter = spare_.getValue() == 0
                           ? absl::InfiniteDuration()
                           : absl::Seconds(spare_.getValue());
  if (graceS_.getValue() > 0) {
    control.handOverLimit = std::min(
      control.handOverLimit, absl::Seconds(graceS_.getValue()) - GraceMargin);
  }
  control.compactAfter = static_cast<std::uint64_t>(compact_.getValue());
  control.changeLevel = static_cast<ChangeLevel>(changeLevel_.getValue());
  control.foundAtStart = found_.getValue() == "true";
  control.registry.silentAfter =
    absl::Milliseconds(heartbeat_.getValue()) * missedHeartbeats;
  settings.api = api_.getValue();
  settings.halls = List(halls_);
  settings.metrics = metrics_.getValue();
  settings.role = std::move(control);
  return CheckControl();
}

Outcome<DaemonSettings> Flags::Build()
{
  if (auto checked = CheckCommon(); !Succeeded(checked)) {
    return Error{ Message(checked) };
  }
  Outcome<KeyRing> keys = ReadKeys();
  if (!Succeeded(keys)) {
    return Error{ Message(keys) };
  }
  DaemonSettings settings;
  settings.checkOnly = check_.getValue();
  settings.logFormat =
    log_.getValue() == "json" ? LogFormat::Json : LogFormat::Text;
  Outcome<Done> filled = Error{ absl::StrCat(
    "--role is \"", role_.getValue(), "\"; use entry, gateway or control.") };
  if (role_.getValue() == "entry") {
    filled = FillEntry(Value(keys), settings);
  } else if (role_.getValue() == "gateway") {
    filled = FillGateway(Value(keys), settings);
  } else if (role_.getValue() == "control") {
    filled = FillControl(Value(keys), settings);
  }
  if (!Succeeded(filled)) {
    return Error{ Message(filled) };
  }
  return settings;
}

} // namespace

Outcome<DaemonSettings> ReadDaemonSettings(int argc, char** argv)
{
  const char* named = std::getenv(SettingsVariable);
  const std::string path = named == nullptr ? "" : named;
  Outcome<SettingsMap> file = ReadSettingsFile(path);
  if (!Succeeded(file)) {
    return Error{ Message(file) };
  }
  Flags flags(std::move(Value(file)));
  if (auto parsed = flags.Parse(argc, argv); !Succeeded(parsed)) {
    return Error{ Message(parsed) };
  }
  Outcome<DaemonSettings> settings = flags.Build();
  if (Succeeded(settings)) {
    Value(settings).settingsFile = path;
  }
  return settings;
}

} // namespace wg
