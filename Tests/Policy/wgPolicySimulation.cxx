// SPDX-License-Identifier: Apache-2.0
#include "wgPolicySimulation.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>
#include <set>

#include "absl/random/distributions.h"

#include "wgShares.h"
#include "wgStageEstimate.h"

namespace wg::test {
namespace {

constexpr int Halls = 3;
constexpr int EntriesPerHall = 3;
constexpr int Entries = Halls * EntriesPerHall;
constexpr double GossipPeriodSeconds = 0.25;
constexpr double ReportPeriodSeconds = 0.5;
constexpr double ConnectTimeoutSeconds = 0.5;
constexpr double SlowFactor = 5.0;
constexpr double FloodFactor = 20.0;
constexpr int MaxAttempts = 3;

/** Engine of an endpoint: a batch of `slots` attempts and a FIFO queue. */
struct Engine
{
  int group = 0;
  int hall = 0;
  int slots = 1;
  double slowdown = 1.0;
  bool down = false;
  int running = 0;
  std::deque<int> waiting; // indices of attempts
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
  int attemptsAtStage = 0;
  std::size_t firstUpcoming = 0; // first stage still counted as upcoming
  bool admitted = false;
  bool done = false;
  double usedSeconds = 0.0;
  RequestAttempts attempts;
};

/** An attempt of a stage at an engine. */
struct Attempt
{
  int request = 0;
  Grant grant;
  AttemptId id;
  int engine = 0;
  double started = -1.0; // below 0 while it waits
  bool ended = false;
};

/** A scheduled action; events of equal time run in scheduling order. */
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
    // absl::BitGen would give other numbers in each process.
    random_.seed(run.seed);
    workRandom_.seed(run.seed + 1000003);
    MakeEngines();
    MakeEntries();
    MakeRequests();
  }

  PolicyResult Run()
  {
    for (std::size_t i = 0; i < requests_.size(); ++i) {
      Schedule(requests_[i].arrival,
               [this, i] { OnArrival(static_cast<int>(i)); });
    }
    SchedulePeriodically(GossipPeriodSeconds, [this] { ExchangeDemands(); });
    SchedulePeriodically(ReportPeriodSeconds, [this] { SendLoadReports(); });
    SchedulePeriodically(0.01, [this] { DispatchAll(); });
    if (run_.fault == PolicyFault::StageDown) {
      Schedule(run_.seconds * 0.6, [this] { RestoreEngines(); });
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
  void Schedule(double when, std::function<void()> run)
  {
    events_.push({ when, nextOrder_++, std::move(run) });
  }

  void SchedulePeriodically(double period, const std::function<void()>& run)
  {
    const double end = run_.seconds + 10.0;
    for (double at = period; at < end; at += period) {
      Schedule(at, run);
    }
  }

  Elapsed Time() const { return absl::Seconds(now_); }

  int BottleneckGroup() const
  {
    int bottleneck = 0;
    double minCapacity = 1e9;
    for (std::size_t g = 0; g < run_.shape.groups.size(); ++g) {
      double visits = 0.0;
      for (const ShapePipeline& p : run_.shape.pipelines) {
        visits +=
          p.fraction *
          static_cast<double>(std::count(p.stages.begin(), p.stages.end(), g));
      }
      const ShapeGroup& group = run_.shape.groups[g];
      const double groupCapacity =
        group.endpoints * group.slots / group.meanSeconds / visits;
      if (groupCapacity < minCapacity) {
        minCapacity = groupCapacity;
        bottleneck = static_cast<int>(g);
      }
    }
    return bottleneck;
  }

  void MakeEngines()
  {
    const int bottleneck = BottleneckGroup();
    for (std::size_t g = 0; g < run_.shape.groups.size(); ++g) {
      const ShapeGroup& group = run_.shape.groups[g];
      firstEngine_.push_back(static_cast<int>(engines_.size()));
      for (int i = 0; i < group.endpoints; ++i) {
        Engine engine;
        engine.group = static_cast<int>(g);
        engine.hall = i % Halls;
        engine.slots = group.slots;
        const bool isBottleneck = static_cast<int>(g) == bottleneck;
        if (isBottleneck && run_.fault == PolicyFault::SlowStage) {
          engine.slowdown = 2.0;
        }
        if (isBottleneck && i == 0 &&
            run_.fault == PolicyFault::SlowEndpoint) {
          engine.slowdown = SlowFactor;
        }
        const bool down = run_.fault == PolicyFault::StageDown ||
                          (i == 0 && run_.fault == PolicyFault::EndpointDown);
        engine.down = isBottleneck && down;
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

  /** Adds requests so that the first account sends FloodFactor times its rate.
   */
  void AddFlood(double rate)
  {
    const double extra =
      rate * run_.shape.accounts[0].fraction * (FloodFactor - 1.0);
    for (double at = 0.0; at < run_.seconds;
         at += absl::Exponential<double>(workRandom_, extra)) {
      AddRequest(at, 0);
    }
  }

  std::size_t DrawAccount()
  {
    double x = absl::Uniform(workRandom_, 0.0, 1.0);
    for (std::size_t i = 0; i < run_.shape.accounts.size(); ++i) {
      x -= run_.shape.accounts[i].fraction;
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
           (x -= pipelines[request.pipeline].fraction) >= 0) {
      ++request.pipeline;
    }
    const ShapePipeline& pipeline = pipelines[request.pipeline];
    if (run_.fault == PolicyFault::Burst) {
      // Four seconds at twice the rate, then four without any request.
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

  std::vector<StageEstimate> EstimateStages(const Request& request,
                                            std::size_t from)
  {
    std::vector<StageEstimate> estimates;
    const auto& stages = Stages(request);
    for (std::size_t i = from; i < stages.size(); ++i) {
      estimates.push_back(
        EstimateStage(entries_[Index(request.entry)][stages[i]],
                      Account(request), run_.fair ? Weight(request) : 1.0));
    }
    return estimates;
  }

  static std::size_t Index(int i) { return static_cast<std::size_t>(i); }

  void OnArrival(int id)
  {
    Request& request = requests_[Index(id)];
    if (run_.admission) {
      const Admission admission =
        AdmitByDeadline(EstimateStages(request, 0),
                        absl::Seconds(request.deadline - now_), random_);
      if (admission.reason != Reason::None) {
        EndRequest(request, false);
        ++refused_;
        return;
      }
    }
    request.admitted = true;
    for (const std::size_t g : Stages(request)) {
      CountUpcoming(entries_[Index(request.entry)][g], Account(request), 1);
    }
    Schedule(request.deadline, [this, id] { OnDeadline(id); });
    EnqueueStage(id, SIZE_MAX);
  }

  void RemoveUpcoming(Request& request, std::size_t until)
  {
    for (; request.firstUpcoming < until; ++request.firstUpcoming) {
      CountUpcoming(
        entries_[Index(request.entry)][Stages(request)[request.firstUpcoming]],
        Account(request), -1);
    }
  }

  void EndRequest(Request& request, bool attained)
  {
    if (request.done) {
      return;
    }
    request.done = true;
    if (request.admitted) {
      RemoveUpcoming(request, Stages(request).size());
    }
    if (attained) {
      ++attained_;
      usefulSeconds_ += request.usedSeconds;
      latencies_.push_back(now_ - request.arrival);
      const bool quiet = request.account + 1 == run_.shape.accounts.size();
      quietAttained_ += quiet ? 1 : 0;
    }
  }

  void OnDeadline(int id)
  {
    Request& request = requests_[Index(id)];
    if (request.done) {
      return;
    }
    EndRequest(request, false);
    const std::set<int> open = open_[id];
    open_.erase(id);
    for (const int attemptId : open) {
      EndAttempt(attemptId, AttemptEnd::OutOfTime);
    }
  }

  void EnqueueStage(int id, std::size_t avoid)
  {
    Request& request = requests_[Index(id)];
    const std::size_t g = Stages(request)[request.stage];
    GroupState& group = entries_[Index(request.entry)][g];
    const auto ahead = EstimateStages(request, request.stage);
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
    waiting.laterStagesSeconds =
      run_.admission
        ? ServiceSeconds(ahead) - waiting.expectedCost
        : -run_.seconds; // the baselines drop no request before its deadline
    RouteQuery query;
    query.priorSeconds = ahead.front().serviceSeconds;
    query.avoid = avoid;
    waiting_[waiting.ticket] = id;
    const bool infeasible = run_.admission && (!ahead.front().anyEndpoint ||
                                               waiting.latestStart < Time());
    if (infeasible ||
        Enqueue(group, std::move(waiting), query) != Reason::None) {
      EndRequest(request, false);
      ++failed_;
      return;
    }
    DispatchOne(request.entry, g);
  }

  void DispatchOne(int entry, std::size_t g)
  {
    DispatchRound round = Dispatch(entries_[Index(entry)][g], Time(), random_);
    for (WaitingStage& stage : round.infeasible) {
      EndRequest(requests_[Index(waiting_[stage.ticket])], false);
      ++failed_;
    }
    for (Grant& grant : round.grants) {
      StartAttempt(std::move(grant), g);
    }
  }

  void DispatchAll()
  {
    for (int e = 0; e < Entries; ++e) {
      for (std::size_t g = 0; g < run_.shape.groups.size(); ++g) {
        DispatchOne(e, g);
      }
    }
  }

  bool IsPartitioned(int entry, const Engine& engine) const
  {
    const bool entryInside = entry < EntriesPerHall;
    const bool engineInside = engine.hall == 0;
    return run_.fault == PolicyFault::HallPartition &&
           entryInside != engineInside;
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
    RemoveUpcoming(request, request.stage + 1);
    const int attemptId = static_cast<int>(attempts_.size());
    Attempt attempt;
    attempt.request = id;
    attempt.engine = firstEngine_[g] + static_cast<int>(grant.route.endpoint);
    attempt.id =
      OpenAttempt(request.attempts, static_cast<int>(request.stage));
    attempt.grant = std::move(grant);
    attempts_.push_back(std::move(attempt));
    open_[id].insert(attemptId);
    ++attemptCount_;
    ++request.attemptsAtStage;
    if (request.done) {
      EndAttempt(attemptId, AttemptEnd::Cancelled);
      return;
    }
    const Engine& engine = engines_[Index(attempts_.back().engine)];
    if (engine.down) {
      Schedule(now_ + 0.001, [this, attemptId] {
        EndAttempt(attemptId, AttemptEnd::Unreached);
      });
      return;
    }
    if (IsPartitioned(request.entry, engine)) {
      Schedule(now_ + ConnectTimeoutSeconds, [this, attemptId] {
        EndAttempt(attemptId, AttemptEnd::Unreached);
      });
      return;
    }
    Schedule(now_ + run_.shape.linkSeconds,
             [this, attemptId] { ArriveAtEngine(attemptId); });
  }

  void ArriveAtEngine(int attemptId)
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
    StartWork(attemptId);
  }

  void StartWork(int attemptId)
  {
    Attempt& attempt = attempts_[Index(attemptId)];
    Engine& engine = engines_[Index(attempt.engine)];
    const Request& request = requests_[Index(attempt.request)];
    ++engine.running;
    attempt.started = now_;
    const double fill = static_cast<double>(engine.running) / engine.slots;
    const double seconds = request.work[Index(attempt.id.stage)] *
                           engine.slowdown * (0.5 + 0.5 * fill);
    Schedule(now_ + seconds, [this, attemptId] {
      EndAttempt(attemptId, AttemptEnd::Answered);
    });
  }

  /** Removes an attempt from its engine and starts the next in the queue. */
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
      StartWork(next);
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
    const double runSeconds =
      attempt.started < 0 ? seconds : now_ - attempt.started;
    Finish(group, attempt.grant, end, runSeconds, Time());
    if (open_.count(id) != 0) {
      open_[id].erase(attemptId);
    }
    if (!request.done) {
      ContinueRequest(id, attempt, end);
    }
    DispatchOne(request.entry, g);
  }

  void ContinueRequest(int id, const Attempt& attempt, AttemptEnd end)
  {
    Request& request = requests_[Index(id)];
    if (end == AttemptEnd::Answered) {
      ClassifyAnswer(request.attempts, attempt.id);
      request.attemptsAtStage = 0;
      if (++request.stage == Stages(request).size()) {
        EndRequest(request, true);
        return;
      }
      EnqueueStage(id, SIZE_MAX);
      return;
    }
    AbandonAttempt(request.attempts, attempt.id, end);
    const std::size_t g = Stages(request)[request.stage];
    GroupState& group = entries_[Index(request.entry)][g];
    const RetryQuery query{ run_.shape.groups[g].repeatable, end,
                            request.attemptsAtStage, MaxAttempts, true };
    if (!MayRetry(query) || !SpendRetry(group.retries)) {
      EndRequest(request, false);
      ++failed_;
      return;
    }
    ++retries_;
    EnqueueStage(id, attempt.grant.route.endpoint);
  }

  /** Exchanges demands between entries once per gossip period. */
  void ExchangeDemands()
  {
    if (!run_.fair) {
      return;
    }
    for (std::size_t g = 0; g < run_.shape.groups.size(); ++g) {
      for (int side = 0; side < 2; ++side) {
        ExchangeDemandsOnSide(g, side);
      }
    }
  }

  bool IsOnSide(int entry, int side) const
  {
    const bool partitioned = run_.fault == PolicyFault::HallPartition;
    return partitioned ? (entry < EntriesPerHall) == (side == 0) : side == 0;
  }

  void ExchangeDemandsOnSide(std::size_t g, int side)
  {
    std::vector<ShareDemand> demands;
    for (int e = 0; e < Entries; ++e) {
      if (!IsOnSide(e, side)) {
        continue;
      }
      for (const auto& [name, entry] : entries_[Index(e)][g].queue.accounts) {
        const int outstanding =
          entry.running + static_cast<int>(entry.waiting.size());
        const auto& upcoming = entries_[Index(e)][g].upcoming;
        auto upcomingEntry = upcoming.find(name);
        const int upcomingCount =
          upcomingEntry == upcoming.end() ? 0 : upcomingEntry->second;
        if (outstanding + upcomingCount > 0) {
          demands.push_back({ name, entry.weight, std::to_string(e),
                              outstanding, upcomingCount });
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

  void SendLoadReports()
  {
    for (std::size_t n = 0; n < engines_.size(); ++n) {
      const Engine& engine = engines_[n];
      const std::size_t g = Index(engine.group);
      const std::size_t index = n - Index(firstEngine_[g]);
      const int running = engine.running;
      const int waiting = static_cast<int>(engine.waiting.size());
      for (int e = 0; e < Entries; ++e) {
        if (engine.down || IsPartitioned(e, engine)) {
          NoteLoadPoll(entries_[Index(e)][g].endpoints[index], false);
          continue;
        }
        const int own = entries_[Index(e)][g].endpoints[index].running;
        const double reportedAt = now_;
        Schedule(now_ + run_.reportLagSeconds, [this, e, g, index, running,
                                                waiting, own, reportedAt] {
          LoadReport& report = entries_[Index(e)][g].endpoints[index].report;
          report = { running, waiting, own, absl::Seconds(reportedAt) };
          NoteLoadPoll(entries_[Index(e)][g].endpoints[index], true);
        });
      }
    }
  }

  void RestoreEngines()
  {
    for (Engine& engine : engines_) {
      engine.down = false;
    }
  }

  /** Returns an upper bound of the requests that any schedule can answer: the
   * cheapest ones that fit into the working time of the bottleneck group.
   */
  int CountMaxAttainable() const
  {
    int maxAttainable = static_cast<int>(requests_.size());
    for (std::size_t g = 0; g < run_.shape.groups.size(); ++g) {
      maxAttainable = std::min(maxAttainable, CountMaxAttainableAt(g));
    }
    return maxAttainable;
  }

  int CountMaxAttainableAt(std::size_t g) const
  {
    double longestDeadline = 0.0;
    std::vector<double> needs;
    int unaffected = 0;
    for (const Request& request : requests_) {
      const auto& stages = Stages(request);
      double need = 0.0;
      for (std::size_t i = 0; i < stages.size(); ++i) {
        need += stages[i] == g ? request.work[i] : 0.0;
      }
      longestDeadline =
        std::max(longestDeadline, request.deadline - request.arrival);
      if (need > 0) {
        needs.push_back(need);
      } else {
        ++unaffected;
      }
    }
    double seconds = 0.0;
    for (const Engine& engine : engines_) {
      const bool counts = engine.group == static_cast<int>(g);
      const double upFraction = !engine.down ? 1.0 : 0.0;
      const double fraction =
        run_.fault == PolicyFault::StageDown && counts ? 0.4 : upFraction;
      seconds += counts ? engine.slots * fraction / engine.slowdown *
                            (run_.seconds + longestDeadline)
                        : 0.0;
    }
    std::sort(needs.begin(), needs.end());
    int fit = unaffected;
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
    result.maxAttainable = CountMaxAttainable();
    const double count = std::max(1, result.requests);
    result.attainment = attained_ / count;
    result.ofMaxAttainable =
      static_cast<double>(attained_) / std::max(1, result.maxAttainable);
    if (!latencies_.empty()) {
      std::sort(latencies_.begin(), latencies_.end());
      result.p99Seconds = latencies_[latencies_.size() * 99 / 100];
    }
    result.retriesPerRequest = retries_ / count;
    result.wastedFraction =
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
  int attemptCount_ = 0;
  int retries_ = 0;
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
