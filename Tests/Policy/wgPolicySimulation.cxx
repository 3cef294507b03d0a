// SPDX-License-Identifier: Apache-2.0
#include "wgPolicySimulation.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>
#include <set>

#include "absl/random/distributions.h"

#include "wgOutlook.h"
#include "wgShares.h"

namespace wg::test {
namespace {

constexpr int Halls = 3;
constexpr int EntriesPerHall = 3;
constexpr int Entries = Halls * EntriesPerHall;
constexpr double GossipSeconds = 0.25;
constexpr double ReportSeconds = 0.5;
constexpr double ConnectTimeoutSeconds = 0.5;
constexpr double SlowFactor = 5.0;
constexpr double FloodFactor = 20.0;
constexpr int MaxTries = 3;

/** One endpoint's engine: a batch with a queue behind it. */
struct Engine
{
  int group = 0;
  int hall = 0;
  int slots = 1;
  double slowness = 1.0;
  bool dead = false;
  int running = 0;
  std::deque<int> waiting; // attempts
};

struct Request
{
  int entry = 0;
  std::size_t account = 0;
  std::size_t pipeline = 0;
  double arrival = 0.0;
  double deadline = 0.0;
  std::vector<double> work; // seconds in a full batch, by stage
  std::size_t stage = 0;
  int triesAtStage = 0;
  std::size_t countedFrom = 0; // stages from here on are counted as coming
  bool admitted = false;
  bool done = false;
  double usedSeconds = 0.0;
  RequestAttempts attempts;
};

/** One try of a stage at an engine. */
struct Attempt
{
  int request = 0;
  Grant grant;
  AttemptId id;
  int engine = 0;
  double started = -1.0;
  bool ended = false;
};

/** An action at a time; equal times keep their order. */
struct Event
{
  double at = 0.0;
  std::uint64_t order = 0;
  std::function<void()> run;

  bool operator<(const Event& other) const
  {
    return at != other.at ? at > other.at : order > other.order;
  }
};

std::string AccountName(std::size_t index)
{
  return "a" + std::to_string(index);
}

class Simulation
{
public:
  explicit Simulation(const PolicyRun& run)
    : run_(run)
  {
    // Not absl::BitGen: that one differs from process to process.
    random_.seed(run.seed);
    workRandom_.seed(run.seed + 1000003);
    MakeEngines();
    MakeEntries();
    MakeRequests();
  }

  PolicyResult Run()
  {
    for (std::size_t i = 0; i < requests_.size(); ++i) {
      At(requests_[i].arrival, [this, i] { Arrive(static_cast<int>(i)); });
    }
    Every(GossipSeconds, [this] { ShareAll(); });
    Every(ReportSeconds, [this] { ReportAll(); });
    Every(0.01, [this] { DispatchEverything(); });
    if (run_.fault == PolicyFault::StageDown) {
      At(run_.seconds * 0.6, [this] { Revive(); });
    }
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.run();
    }
    return Summarize();
  }

private:
  void At(double when, std::function<void()> run)
  {
    events_.push({ when, nextOrder_++, std::move(run) });
  }

  void Every(double period, const std::function<void()>& run)
  {
    const double end = run_.seconds + 10.0;
    for (double at = period; at < end; at += period) {
      At(at, run);
    }
  }

  Elapsed Time() const { return absl::Seconds(now_); }

  int TightestGroup() const
  {
    int tightest = 0;
    double least = 1e9;
    for (std::size_t g = 0; g < run_.shape.groups.size(); ++g) {
      double visits = 0.0;
      for (const ShapePipeline& p : run_.shape.pipelines) {
        visits += p.share * static_cast<double>(
                              std::count(p.stages.begin(), p.stages.end(), g));
      }
      const ShapeGroup& group = run_.shape.groups[g];
      const double served =
        group.endpoints * group.slots / group.meanSeconds / visits;
      if (served < least) {
        least = served;
        tightest = static_cast<int>(g);
      }
    }
    return tightest;
  }

  void MakeEngines()
  {
    const int tightest = TightestGroup();
    for (std::size_t g = 0; g < run_.shape.groups.size(); ++g) {
      const ShapeGroup& group = run_.shape.groups[g];
      firstEngine_.push_back(static_cast<int>(engines_.size()));
      for (int i = 0; i < group.endpoints; ++i) {
        Engine engine;
        engine.group = static_cast<int>(g);
        engine.hall = i % Halls;
        engine.slots = group.slots;
        const bool hit = static_cast<int>(g) == tightest;
        if (hit && run_.fault == PolicyFault::SlowStage) {
          engine.slowness = 2.0;
        }
        if (hit && i == 0 && run_.fault == PolicyFault::SlowEndpoint) {
          engine.slowness = SlowFactor;
        }
        const bool dead = run_.fault == PolicyFault::StageDown ||
                          (i == 0 && run_.fault == PolicyFault::DeadEndpoint);
        engine.dead = hit && dead;
        engines_.push_back(engine);
      }
    }
  }

  void MakeEntries()
  {
    entries_.resize(Entries);
    for (std::size_t e = 0; e < entries_.size(); ++e) {
      for (std::size_t g = 0; g < run_.shape.groups.size(); ++g) {
        const ShapeGroup& shape = run_.shape.groups[g];
        GroupState group;
        group.name = shape.name;
        group.priorSeconds = shape.meanSeconds;
        group.policy = run_.routing;
        for (int i = 0; i < shape.endpoints; ++i) {
          EndpointState endpoint;
          endpoint.name = shape.name + std::to_string(i);
          endpoint.hall = "h" + std::to_string(i % Halls);
          const bool isNear =
            i % Halls == static_cast<int>(e) / EntriesPerHall;
          endpoint.distanceSeconds = isNear ? 0.0 : 2 * run_.shape.linkSeconds;
          endpoint.slots = shape.slots;
          endpoint.limit.value = shape.slots;
          group.endpoints.push_back(endpoint);
        }
        entries_[e].push_back(std::move(group));
      }
    }
  }

  void MakeRequests()
  {
    const double rate = CapacityOf(run_.shape) * run_.load;
    double at = 0.0;
    while (at < run_.seconds) {
      at += absl::Exponential<double>(workRandom_, rate);
      const std::size_t account = DrawAccount();
      AddRequest(at, account);
    }
    if (run_.fault == PolicyFault::Flood) {
      AddFlood(rate);
    }
    std::sort(requests_.begin(), requests_.end(),
              [](const Request& a, const Request& b) {
                return a.arrival < b.arrival;
              });
    if (run_.onlyQuiet) {
      const std::size_t quiet = run_.shape.accounts.size() - 1;
      requests_.erase(std::remove_if(requests_.begin(), requests_.end(),
                                     [quiet](const Request& r) {
                                       return r.account != quiet;
                                     }),
                      requests_.end());
    }
  }

  /** The first account sends twenty times what it should. */
  void AddFlood(double rate)
  {
    const double extra =
      rate * run_.shape.accounts[0].share * (FloodFactor - 1.0);
    for (double at = 0.0; at < run_.seconds;
         at += absl::Exponential<double>(workRandom_, extra)) {
      AddRequest(at, 0);
    }
  }

  std::size_t DrawAccount()
  {
    double x = absl::Uniform(workRandom_, 0.0, 1.0);
    for (std::size_t i = 0; i < run_.shape.accounts.size(); ++i) {
      x -= run_.shape.accounts[i].share;
      if (x < 0) {
        return i;
      }
    }
    return run_.shape.accounts.size() - 1;
  }

  void AddRequest(double at, std::size_t account)
  {
    Request request;
    request.account = account;
    request.entry = absl::Uniform(workRandom_, 0, Entries);
    double x = absl::Uniform(workRandom_, 0.0, 1.0);
    const auto& pipelines = run_.shape.pipelines;
    while (request.pipeline + 1 < pipelines.size() &&
           (x -= pipelines[request.pipeline].share) >= 0) {
      ++request.pipeline;
    }
    const ShapePipeline& pipeline = pipelines[request.pipeline];
    if (run_.fault == PolicyFault::Burst) {
      // Four seconds of twice the rate, then four of none.
      const double cycle = 8.0;
      at = std::floor(at / cycle) * cycle + std::fmod(at, cycle) / 2.0;
    }
    request.arrival = at;
    request.deadline = at + pipeline.deadlineSeconds;
    for (const std::size_t g : pipeline.stages) {
      const double spread = absl::Uniform(workRandom_, 0.5, 1.5);
      request.work.push_back(run_.shape.groups[g].meanSeconds * spread);
    }
    request.attempts.request = "r" + std::to_string(requests_.size());
    requests_.push_back(std::move(request));
  }

  const std::vector<std::size_t>& Stages(const Request& request) const
  {
    return run_.shape.pipelines[request.pipeline].stages;
  }

  double Weight(const Request& request) const
  {
    return run_.shape.accounts[request.account].weight;
  }

  std::string Account(const Request& request) const
  {
    return run_.fair ? AccountName(request.account) : std::string("all");
  }

  std::vector<StageOutlook> Outlook(const Request& request, std::size_t from)
  {
    std::vector<StageOutlook> outlook;
    const auto& stages = Stages(request);
    for (std::size_t i = from; i < stages.size(); ++i) {
      outlook.push_back(OutlookFor(entries_[Index(request.entry)][stages[i]],
                                   Account(request),
                                   run_.fair ? Weight(request) : 1.0));
    }
    return outlook;
  }

  static std::size_t Index(int i) { return static_cast<std::size_t>(i); }

  void Arrive(int id)
  {
    Request& request = requests_[Index(id)];
    if (run_.admission) {
      const Admission admission = AdmitByDeadline(
        Outlook(request, 0), absl::Seconds(request.deadline - now_), random_);
      if (admission.reason != Reason::None) {
        End(request, false);
        ++refused_;
        return;
      }
    }
    request.admitted = true;
    for (const std::size_t g : Stages(request)) {
      CountUpcoming(entries_[Index(request.entry)][g], Account(request), 1);
    }
    At(request.deadline, [this, id] { PassDeadline(id); });
    EnterStage(id, SIZE_MAX);
  }

  void StopCounting(Request& request, std::size_t until)
  {
    for (; request.countedFrom < until; ++request.countedFrom) {
      CountUpcoming(
        entries_[Index(request.entry)][Stages(request)[request.countedFrom]],
        Account(request), -1);
    }
  }

  void End(Request& request, bool attained)
  {
    if (request.done) {
      return;
    }
    request.done = true;
    if (request.admitted) {
      StopCounting(request, Stages(request).size());
    }
    if (attained) {
      ++attained_;
      usefulSeconds_ += request.usedSeconds;
      latencies_.push_back(now_ - request.arrival);
      const bool quiet = request.account + 1 == run_.shape.accounts.size();
      quietAttained_ += quiet ? 1 : 0;
    }
  }

  void PassDeadline(int id)
  {
    Request& request = requests_[Index(id)];
    if (request.done) {
      return;
    }
    End(request, false);
    const std::set<int> open = open_[id];
    open_.erase(id);
    for (const int attemptId : open) {
      EndAttempt(attemptId, AttemptEnd::OutOfTime);
    }
  }

  void EnterStage(int id, std::size_t avoid)
  {
    Request& request = requests_[Index(id)];
    const std::size_t g = Stages(request)[request.stage];
    GroupState& group = entries_[Index(request.entry)][g];
    const auto ahead = Outlook(request, request.stage);
    WaitingStage waiting;
    waiting.ticket = nextTicket_++;
    waiting.account = Account(request);
    waiting.weight = run_.fair ? Weight(request) : 1.0;
    waiting.deadline =
      absl::Seconds(run_.fair ? request.deadline : request.arrival);
    waiting.enqueued = Time();
    waiting.latestStart =
      run_.admission ? absl::Seconds(request.deadline - ServiceSeconds(ahead))
                     : absl::Seconds(request.deadline);
    waiting.expectedCost = ahead.front().serviceSeconds;
    waiting.laterSeconds =
      run_.admission
        ? ServiceSeconds(ahead) - waiting.expectedCost
        : -run_.seconds; // the baselines give nothing up before its deadline
    RouteQuery query;
    query.priorSeconds = ahead.front().serviceSeconds;
    query.avoid = avoid;
    waiting_[waiting.ticket] = id;
    const bool hopeless = run_.admission && (!ahead.front().anyEndpoint ||
                                             waiting.latestStart < Time());
    if (hopeless ||
        Enqueue(group, std::move(waiting), query) != Reason::None) {
      End(request, false);
      ++failed_;
      return;
    }
    DispatchOne(request.entry, g);
  }

  void DispatchOne(int entry, std::size_t g)
  {
    DispatchRound round = Dispatch(entries_[Index(entry)][g], Time(), random_);
    for (WaitingStage& stage : round.hopeless) {
      End(requests_[Index(waiting_[stage.ticket])], false);
      ++failed_;
    }
    for (Grant& grant : round.grants) {
      StartAttempt(std::move(grant), g);
    }
  }

  void DispatchEverything()
  {
    for (int e = 0; e < Entries; ++e) {
      for (std::size_t g = 0; g < run_.shape.groups.size(); ++g) {
        DispatchOne(e, g);
      }
    }
  }

  bool IsCut(int entry, const Engine& engine) const
  {
    const bool entryInside = entry < EntriesPerHall;
    const bool engineInside = engine.hall == 0;
    return run_.fault == PolicyFault::HallCut && entryInside != engineInside;
  }

  void StartAttempt(Grant grant, std::size_t g)
  {
    const int id = waiting_[grant.stage.ticket];
    waiting_.erase(grant.stage.ticket);
    Request& request = requests_[Index(id)];
    if (run_.shape.accounts.size() == request.account + 1) {
      quietLongestWait_ = std::max(
        quietLongestWait_, now_ - absl::ToDoubleSeconds(grant.stage.enqueued));
    }
    StopCounting(request, request.stage + 1);
    const int attemptId = static_cast<int>(attempts_.size());
    Attempt attempt;
    attempt.request = id;
    attempt.engine = firstEngine_[g] + static_cast<int>(grant.route.endpoint);
    attempt.id =
      OpenAttempt(request.attempts, static_cast<int>(request.stage));
    attempt.grant = std::move(grant);
    attempts_.push_back(std::move(attempt));
    open_[id].insert(attemptId);
    ++tries_;
    ++request.triesAtStage;
    if (request.done) {
      EndAttempt(attemptId, AttemptEnd::Cancelled);
      return;
    }
    const Engine& engine = engines_[Index(attempts_.back().engine)];
    if (engine.dead) {
      At(now_ + 0.001,
         [this, attemptId] { EndAttempt(attemptId, AttemptEnd::Unreached); });
      return;
    }
    if (IsCut(request.entry, engine)) {
      At(now_ + ConnectTimeoutSeconds,
         [this, attemptId] { EndAttempt(attemptId, AttemptEnd::Unreached); });
      return;
    }
    At(now_ + run_.shape.linkSeconds,
       [this, attemptId] { ReachEngine(attemptId); });
  }

  void ReachEngine(int attemptId)
  {
    Attempt& attempt = attempts_[Index(attemptId)];
    if (attempt.ended) {
      return;
    }
    Engine& engine = engines_[Index(attempt.engine)];
    if (engine.running >= engine.slots) {
      engine.waiting.push_back(attemptId);
      return;
    }
    BeginWork(attemptId);
  }

  void BeginWork(int attemptId)
  {
    Attempt& attempt = attempts_[Index(attemptId)];
    Engine& engine = engines_[Index(attempt.engine)];
    const Request& request = requests_[Index(attempt.request)];
    ++engine.running;
    attempt.started = now_;
    const double fill = static_cast<double>(engine.running) / engine.slots;
    const double seconds = request.work[Index(attempt.id.stage)] *
                           engine.slowness * (0.5 + 0.5 * fill);
    At(now_ + seconds,
       [this, attemptId] { EndAttempt(attemptId, AttemptEnd::Answered); });
  }

  /** Leaves the engine, and lets the next in its queue begin. */
  void LeaveEngine(int attemptId)
  {
    Attempt& attempt = attempts_[Index(attemptId)];
    Engine& engine = engines_[Index(attempt.engine)];
    if (attempt.started < 0) {
      auto at =
        std::find(engine.waiting.begin(), engine.waiting.end(), attemptId);
      if (at != engine.waiting.end()) {
        engine.waiting.erase(at);
      }
      return;
    }
    --engine.running;
    allSeconds_ += now_ - attempt.started;
    requests_[Index(attempt.request)].usedSeconds += now_ - attempt.started;
    if (!engine.waiting.empty()) {
      const int next = engine.waiting.front();
      engine.waiting.pop_front();
      BeginWork(next);
    }
  }

  void EndAttempt(int attemptId, AttemptEnd end)
  {
    Attempt& attempt = attempts_[Index(attemptId)];
    if (attempt.ended) {
      return;
    }
    attempt.ended = true;
    LeaveEngine(attemptId);
    const int id = attempt.request;
    Request& request = requests_[Index(id)];
    const std::size_t g = Stages(request)[Index(attempt.id.stage)];
    GroupState& group = entries_[Index(request.entry)][g];
    const double seconds =
      now_ - absl::ToDoubleSeconds(attempt.grant.stage.enqueued);
    const double ran = attempt.started < 0 ? seconds : now_ - attempt.started;
    Finish(group, attempt.grant, end, ran, Time());
    if (open_.count(id) != 0) {
      open_[id].erase(attemptId);
    }
    if (!request.done) {
      Continue(id, attempt, end);
    }
    DispatchOne(request.entry, g);
  }

  void Continue(int id, const Attempt& attempt, AttemptEnd end)
  {
    Request& request = requests_[Index(id)];
    if (end == AttemptEnd::Answered) {
      JudgeAnswer(request.attempts, attempt.id);
      request.triesAtStage = 0;
      if (++request.stage == Stages(request).size()) {
        End(request, true);
        return;
      }
      EnterStage(id, SIZE_MAX);
      return;
    }
    AbandonAttempt(request.attempts, attempt.id, end);
    const std::size_t g = Stages(request)[request.stage];
    GroupState& group = entries_[Index(request.entry)][g];
    const RetryQuery query{ run_.shape.groups[g].repeatable, end,
                            request.triesAtStage, MaxTries, true };
    if (!MayRetry(query) || !SpendRetry(group.retries)) {
      End(request, false);
      ++failed_;
      return;
    }
    ++extraTries_;
    EnterStage(id, attempt.grant.route.endpoint);
  }

  /** What entries tell each other, as late as the gossip tells it. */
  void ShareAll()
  {
    if (!run_.fair) {
      return;
    }
    for (std::size_t g = 0; g < run_.shape.groups.size(); ++g) {
      for (int side = 0; side < 2; ++side) {
        ShareSide(g, side);
      }
    }
  }

  bool IsOnSide(int entry, int side) const
  {
    const bool cut = run_.fault == PolicyFault::HallCut;
    return cut ? (entry < EntriesPerHall) == (side == 0) : side == 0;
  }

  void ShareSide(std::size_t g, int side)
  {
    std::vector<ShareDemand> demands;
    for (int e = 0; e < Entries; ++e) {
      if (!IsOnSide(e, side)) {
        continue;
      }
      for (const auto& [name, entry] : entries_[Index(e)][g].queue.accounts) {
        const int wanted =
          entry.running + static_cast<int>(entry.waiting.size());
        const auto& upcoming = entries_[Index(e)][g].upcoming;
        auto found = upcoming.find(name);
        const int coming = found == upcoming.end() ? 0 : found->second;
        if (wanted + coming > 0) {
          demands.push_back(
            { name, entry.weight, std::to_string(e), wanted, coming });
        }
      }
    }
    for (int e = 0; e < Entries; ++e) {
      if (!IsOnSide(e, side)) {
        continue;
      }
      SetQuota(entries_[Index(e)][g], std::to_string(e), demands);
    }
  }

  void ReportAll()
  {
    for (std::size_t n = 0; n < engines_.size(); ++n) {
      const Engine& engine = engines_[n];
      const std::size_t g = Index(engine.group);
      const std::size_t index = n - Index(firstEngine_[g]);
      const int running = engine.running;
      const int waiting = static_cast<int>(engine.waiting.size());
      for (int e = 0; e < Entries; ++e) {
        if (engine.dead || IsCut(e, engine)) {
          NoteWatch(entries_[Index(e)][g].endpoints[index], false);
          continue;
        }
        const int own = entries_[Index(e)][g].endpoints[index].running;
        const double taken = now_;
        At(now_ + run_.reportLagSeconds, [this, e, g, index, running, waiting,
                                          own, taken] {
          LoadReport& report = entries_[Index(e)][g].endpoints[index].report;
          report = { running, waiting, own, absl::Seconds(taken) };
          NoteWatch(entries_[Index(e)][g].endpoints[index], true);
        });
      }
    }
  }

  void Revive()
  {
    for (Engine& engine : engines_) {
      engine.dead = false;
    }
  }

  /** No schedule can answer more than the cheapest requests that fit into the
   * tightest group's working time.
   */
  int CountPossible() const
  {
    int possible = static_cast<int>(requests_.size());
    for (std::size_t g = 0; g < run_.shape.groups.size(); ++g) {
      possible = std::min(possible, CountPossibleAt(g));
    }
    return possible;
  }

  int CountPossibleAt(std::size_t g) const
  {
    double longest = 0.0;
    std::vector<double> needs;
    int without = 0;
    for (const Request& request : requests_) {
      const auto& stages = Stages(request);
      double need = 0.0;
      for (std::size_t i = 0; i < stages.size(); ++i) {
        need += stages[i] == g ? request.work[i] : 0.0;
      }
      longest = std::max(longest, request.deadline - request.arrival);
      if (need > 0) {
        needs.push_back(need);
      } else {
        ++without;
      }
    }
    double seconds = 0.0;
    for (const Engine& engine : engines_) {
      const bool counts = engine.group == static_cast<int>(g);
      const double alive = !engine.dead ? 1.0 : 0.0;
      const double share =
        run_.fault == PolicyFault::StageDown && counts ? 0.4 : alive;
      seconds += counts ? engine.slots * share / engine.slowness *
                            (run_.seconds + longest)
                        : 0.0;
    }
    std::sort(needs.begin(), needs.end());
    int fit = without;
    for (const double need : needs) {
      seconds -= need;
      if (seconds < 0) {
        break;
      }
      ++fit;
    }
    return fit;
  }

  PolicyResult Summarize()
  {
    PolicyResult result;
    result.requests = static_cast<int>(requests_.size());
    result.attained = attained_;
    result.refused = refused_;
    result.failed = failed_;
    result.possible = CountPossible();
    const double count = std::max(1, result.requests);
    result.attainment = attained_ / count;
    result.ofPossible =
      static_cast<double>(attained_) / std::max(1, result.possible);
    if (!latencies_.empty()) {
      std::sort(latencies_.begin(), latencies_.end());
      result.p99Seconds = latencies_[latencies_.size() * 99 / 100];
    }
    result.extraTries = extraTries_ / count;
    result.wastedWork =
      allSeconds_ > 0 ? (allSeconds_ - usefulSeconds_) / allSeconds_ : 0.0;
    int quiet = 0;
    for (const Request& request : requests_) {
      quiet += request.account + 1 == run_.shape.accounts.size() ? 1 : 0;
    }
    result.quietAttainment =
      static_cast<double>(quietAttained_) / std::max(1, quiet);
    result.quietLongestWait = quietLongestWait_;
    result.secondsPerAnswer = allSeconds_ / std::max(1, attained_);
    return result;
  }

  PolicyRun run_;
  std::mt19937_64 random_;
  std::mt19937_64 workRandom_;
  std::vector<Engine> engines_;
  std::vector<int> firstEngine_;
  std::vector<std::vector<GroupState>> entries_;
  std::vector<Request> requests_;
  std::deque<Attempt> attempts_;
  std::map<int, std::set<int>> open_;    // attempts by request
  std::map<std::uint64_t, int> waiting_; // request by ticket
  std::priority_queue<Event> events_;
  std::uint64_t nextOrder_ = 0;
  std::uint64_t nextTicket_ = 1;
  double now_ = 0.0;
  int attained_ = 0;
  int refused_ = 0;
  int failed_ = 0;
  int tries_ = 0;
  int extraTries_ = 0;
  int quietAttained_ = 0;
  double quietLongestWait_ = 0.0;
  double usefulSeconds_ = 0.0;
  double allSeconds_ = 0.0;
  std::vector<double> latencies_;
};

} // namespace

PolicyResult Simulate(const PolicyRun& run)
{
  return Simulation(run).Run();
}

} // namespace wg::test
