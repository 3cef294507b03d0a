// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

#include "wgHttpServer.h"
#include "wgLoopThread.h"

namespace wg::test {

/** \brief What an endpoint does with a request. */
enum class StandinConduct
{
  Answer,
  Refuse, // says that it did not run it
  HangUp, // runs it, and closes without an answer
  Wait,   // runs it, and answers only when it is let go on
  Silent  // begins a stream, and says no more
};

/** \brief Where in its work on a request an endpoint stands still. */
enum class StandinMoment
{
  None,
  BeforeHead,
  BeforeFirstEvent, // the head is written
  BeforeLastEvent,
  InBody,   // of a whole answer, half of which is written
  BeforeEnd // all bytes are written, their end is not
};

/** \class PlatformStandin
 * \brief An endpoint as the platform's are: runs pieces of stages, streams
 * events, and answers plain requests; keeps what it was asked.
 */
class PlatformStandin
{
public:
  explicit PlatformStandin(std::string id);
  ~PlatformStandin();

  const std::string& Address() const { return address_; }
  int Port() const { return port_; }
  /** \brief The hall that it tells; h1 unless it is set. */
  void SetHall(std::string hall) { hall_ = std::move(hall); }
  /** \brief The version of its software that it tells; v1 unless it is set. */
  void SetVersion(std::string version);
  /** \brief It falls over, and starts again after `downMs` with another name
   * and this version. Requests that name another endpoint are answered 421.
   * From any thread.
   */
  void StartAgainAs(const std::string& name, const std::string& version,
                    int downMs);
  /** \brief Events of a stream are so far apart; 0: all come at once. */
  void SetEventMs(int ms) { eventMs_ = ms; }
  /** \brief Each event of its streams names its version. Call before anything
   * is sent.
   */
  void TellVersionInEvents() { tellsVersion_ = true; }
  /** \brief What it tells of how much longer it is cold. */
  void SetWarmupMs(int ms) { warmupMs_ = ms; }
  /** \brief When requests and calls of stages reached it. */
  std::vector<absl::Time> Arrivals() const;
  /** \brief When those or calls that give results up reached it. */
  std::vector<absl::Time> AllArrivals() const;
  /** \brief Registers, and names results, as if it were there. */
  void AppearAt(const std::string& address) { address_ = address; }
  std::string Id() const;
  void SetConduct(StandinConduct conduct) { conduct_ = conduct; }
  /** \brief Each answer names this many requests a second as its limit;
   * below 0: none.
   */
  void SetLimit(double perSecond) { limit_ = perSecond; }
  /** \brief Each answer says that it leaves. */
  void SetLeaving(bool leaving) { leaving_ = leaving; }
  /** \brief What it refuses is told to come back after so many seconds; 0: it
   * says nothing of that.
   */
  void SetRest(double seconds) { rest_ = seconds; }
  /** \brief Answers come without a length and without chunks; some of them
   * end too early: streams inside an event, by an orderly close or a reset,
   * documents at any byte, texts by a reset.
   */
  void SetUnframed(bool unframed) { unframed_ = unframed; }
  /** \brief Answers that ended too early. */
  int BrokenOff() const { return brokenOff_; }
  /** \brief Refuses all, whatever its conduct. */
  void SetTired(bool tired) { tired_ = tired; }
  /** \brief Refuses what comes next, and then goes on as before. */
  void RefuseNext() { refusesNext_ = true; }
  /** \brief When it refused requests and calls of stages. */
  std::vector<absl::Time> Refusals() const;
  /** \brief Requests take so long each, as many at once as it has slots; so
   * many more wait, and others are refused. 0 ms: at once, and any number.
   */
  void SetWork(int ms, int queue)
  {
    queue_ = queue;
    workMs_ = ms;
  }
  /** \brief Each answer says that it is brittle: it falls over when it
   * refuses more requests within a second; below 0: it is not. Call FallsFor
   * before.
   */
  void SetBrittle(double perSecond) { brittle_ = perSecond; }
  /** \brief How long it is down when it falls over. Call before anything is
   * sent.
   */
  void FallsFor(int downMs)
  {
    downMs_ = downMs;
    BornAt(FirstBornMs);
  }
  /** \brief It falls over now. From any thread. */
  void FallOver();
  /** \brief Its process stands still for so long: connections come up, and
   * nothing is read or written. From any thread.
   */
  void PauseFor(int ms);
  /** \brief Its process stands still so as the next request comes to this
   * moment, or as the next call of a stage does to BeforeHead. From any
   * thread.
   */
  void PauseNextAt(StandinMoment moment, int ms);
  /** \brief How often it stood still at a moment of a request. */
  int Pauses() const { return pauses_; }
  /** \brief The streams that run are lost, and their connections stay open:
   * nothing more comes over them. From any thread.
   */
  void LoseStreams();
  /** \brief As an engine it fetches results that stages have made there, or
   * at another such maker: a request that names none is answered 400, one that
   * names a result which is gone 409. Call before anything is sent; the maker
   * outlives this.
   */
  void FetchesInputsFrom(const PlatformStandin& maker)
  {
    makers_.push_back(&maker);
  }
  /** \brief How often it was asked for its status. */
  int Reports() const { return reports_; }
  /** \brief Streams of which an event was written. */
  int StreamsBegun() const { return streamsBegun_; }
  /** \brief How long a call of a stage takes at the usual pace. */
  void SetCallMs(int ms) { callMs_ = ms; }
  /** \brief Calls of stages take so many percent of their usual time, and
   * each answer reports it; 0: as usual, and no answer reports a pace.
   */
  void SetPace(int percent) { pace_ = percent; }
  /** \brief Each answer reports this as its load, whatever the load is: a
   * report that lies, is frozen or can't be read. Call before anything is
   * sent; empty: the load as it is.
   */
  void SetReport(std::string load) { report_ = std::move(load); }
  /** \brief A request with this in its body, or a piece of a request with
   * this in its id, ends it as a crash does: its connections are closed and
   * nothing listens any more. It starts again after so long, with what is
   * `born` one higher, and knows nothing. Call before anything is sent.
   */
  void EndsUnder(std::string text, int downMs);
  /** \brief It is not ended but cut off so: it lives, and its heartbeats
   * arrive. Call before anything is sent.
   */
  void IsOnlyCutOff() { onlyCutOff_ = true; }
  /** \brief How often it has ended so. */
  int Ends() const { return ends_; }
  bool IsUp() const { return isUp_; }
  bool Beats() const { return isUp_ || onlyCutOff_; }
  /** \brief Answers what waits. */
  void GoOn();

  int Runs(const std::string& request) const;
  /** \brief How often each request was run. */
  std::map<std::string, int> RunsByRequest() const;
  /** \brief Pieces that were given no input or another request's. */
  int UnsoundPieces() const { return unsoundPieces_; }
  int AllRuns() const;
  int Pieces() const { return pieces_; }
  int Released() const { return released_; }
  std::string LastField(const std::string& name) const;

  /** \brief Registers with a control box; whether it was acknowledged. */
  bool Register(int apiPort, const std::string& service,
                const std::string& state = "ready");
  /** \brief Tells from its next heartbeat on that it started then, Unix time
   * in ms, and counts its heartbeats anew. From any thread.
   */
  void BornAt(std::int64_t ms) { nextBornMs_ = ms; }
  /** \brief Says that it ends; whether it was acknowledged. */
  bool Leave(int apiPort);

private:
  using Exchange = std::shared_ptr<HttpExchange>;
  static constexpr std::int64_t FirstBornMs = 1700000000000;

  std::string Version() const;
  bool IsForAnother(const HttpRequest& request) const;
  bool HasResult(const std::string& handle) const;
  bool RefuseWithoutInputs(const Exchange& exchange);
  void StartAgainIfTold() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  bool IsEndedBy(const std::string& text) const;
  void End();
  void Listen();
  void OnRequest(const Exchange& exchange);
  void OnStage(const Exchange& exchange);
  void Refuse(const Exchange& exchange);
  bool IsOverrun() const;
  void NoteRun(const Exchange& exchange);
  void Work(const Exchange& exchange);
  void StartWork(const Exchange& exchange);
  std::uint64_t Begin(const Exchange& exchange);
  Exchange EndOf(std::uint64_t number);
  void RunAfter(int ms, std::function<void()> run);
  void AddTerms(HttpHead& head) const;
  std::string Load() const;
  void Answer(const Exchange& exchange);
  std::string EventsOf(const HttpRequest& request, int first, int last) const;
  HttpHead StreamHead(const Exchange& exchange) const;
  void Stream(const Exchange& exchange, int first, int last);
  void StreamNext(std::uint64_t number, int event);
  void PauseIfAt(StandinMoment moment);
  void RespondInParts(const Exchange& exchange, const HttpResponse& answer);
  void Respond(const Exchange& exchange, HttpResponse answer, bool isJson);
  bool BreaksOff(const Exchange& exchange, HttpHead head,
                 const std::string& body, std::size_t at, bool mayFinish);

  std::string address_;
  std::string hall_ = "h1";
  bool tellsVersion_ = false;
  std::atomic<int> eventMs_{ 0 };
  std::atomic<int> warmupMs_{ 0 };
  int port_ = 0;
  std::atomic<StandinConduct> conduct_{ StandinConduct::Answer };
  std::atomic<int> callMs_{ 5 };
  std::atomic<int> pace_{ 0 };
  std::string report_;
  int callsAtWork_ = 0; // on the loop
  std::atomic<double> limit_{ -1.0 };
  std::atomic<double> brittle_{ -1.0 };
  std::atomic<int> workMs_{ 0 };
  std::atomic<int> queue_{ 0 };
  int atWork_ = 0;                         // on the loop
  std::deque<Exchange> queued_;            // on the loop
  std::map<std::uint64_t, Exchange> open_; // at work, on the loop
  std::uint64_t lastOpen_ = 0;
  std::atomic<bool> leaving_{ false };
  std::atomic<double> rest_{ 0.0 };
  std::atomic<bool> refusesNext_{ false };
  std::atomic<bool> unframed_{ false };
  std::atomic<int> brokenOff_{ 0 };
  std::size_t answers_ = 0; // without a length; on the loop
  std::atomic<bool> tired_{ false };
  std::atomic<int> pieces_{ 0 };
  std::atomic<int> released_{ 0 };
  std::atomic<int> streamsBegun_{ 0 };
  std::atomic<int> reports_{ 0 };
  std::vector<const PlatformStandin*> makers_; // none: it needs no inputs
  std::atomic<StandinMoment> pausesAt_{ StandinMoment::None };
  std::atomic<int> pauseMs_{ 0 };
  std::atomic<int> pauses_{ 0 };
  std::atomic<int> unsoundPieces_{ 0 };
  std::string endsUnder_; // empty: nothing ends it
  int downMs_ = 0;
  bool onlyCutOff_ = false;
  std::atomic<int> ends_{ 0 };
  std::atomic<bool> isUp_{ true };
  std::atomic<std::int64_t> nextBornMs_{ 0 };
  mutable absl::Mutex mutex_;
  std::string id_ ABSL_GUARDED_BY(mutex_);
  std::string version_ ABSL_GUARDED_BY(mutex_) = "v1";
  bool checksName_ ABSL_GUARDED_BY(mutex_) = false;
  int sequence_ ABSL_GUARDED_BY(mutex_) = 0;
  std::int64_t bornMs_ ABSL_GUARDED_BY(mutex_) = 0; // 0: it does not tell
  std::map<std::string, int> runs_ ABSL_GUARDED_BY(mutex_);
  std::set<std::string> results_ ABSL_GUARDED_BY(mutex_); // not released
  std::vector<absl::Time> arrivals_ ABSL_GUARDED_BY(mutex_);
  std::vector<absl::Time> allArrivals_ ABSL_GUARDED_BY(mutex_);
  std::vector<absl::Time> refusals_ ABSL_GUARDED_BY(mutex_);
  HttpRequest last_ ABSL_GUARDED_BY(mutex_);
  LoopThread thread_;
  std::vector<Exchange> waiting_; // on the loop
  std::unique_ptr<HttpServer> server_;
};

} // namespace wg::test
