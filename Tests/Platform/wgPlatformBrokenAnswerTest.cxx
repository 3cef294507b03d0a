// SPDX-License-Identifier: Apache-2.0
// Endpoints send answers that are broken: a head that RFC 9110 and 9112 rule
// out, or a reset while the request is still being sent. A caller gets a
// failure or another endpoint's answer, never what came; sound answers of the
// same kind arrive as they are.
#include <atomic>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/error.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include "wgPlatformCluster.h"
#include "wgRawCaller.h"
#include "wgScriptedEndpoint.h"

namespace {

using wg::test::AnswerClose;
using wg::test::Await;
using wg::test::Forwarder;
using wg::test::Local;
using wg::test::PlatformCluster;
using wg::test::RawCaller;
using wg::test::ScriptedAnswer;
using wg::test::ScriptedEndpoint;

constexpr const char* RequestField = "X-Weirgate-Attempt-Id";
/** Each allows one attempt, but the last. */
constexpr const char* RunOnce = "/p/";
constexpr const char* Idempotent = "/i/";
constexpr const char* Stream = "/s/";
constexpr const char* Repeated = "/t/";
const std::string BrokenBody = "broken";
const std::string SoundBody = "sound";
/** More than the buffers of both ends of a connection hold. */
constexpr std::size_t LongUpload = 3U << 20U;

struct Reply
{
  std::string bytes;
  bool isReset = false;

  std::string Head() const { return bytes.substr(0, bytes.find("\r\n\r\n")); }
  std::string Status() const { return bytes.substr(0, bytes.find(' ', 9)); }
  bool HasBody(const std::string& body) const
  {
    const std::size_t head = bytes.find("\r\n\r\n");
    return head != std::string::npos && bytes.substr(head + 4) == body;
  }
};

/** Gateways with two endpoints. The first attempt of a request gets the bytes
 * of a test, and each later one a sound answer.
 */
class Site
{
public:
  /** \param relays whether gateway 0 reaches the endpoints over gateway 1
   * alone
   */
  explicit Site(bool relays = false)
    : cluster(relays ? 2 : 1)
    , first_(
        "first", [this](const auto& r) { return Answer(r); },
        [this](const auto& r) { return AnswerEarly(r); })
    , second_(
        "second", [this](const auto& r) { return Answer(r); },
        [this](const auto& r) { return AnswerEarly(r); })
  {
    if (relays) {
      TakePaths();
    }
    Await("the document",
          [this] { return cluster.Publish(0, Document()) == 200; });
    for (int i = 0; i < cluster.Gateways(); ++i) {
      Await("a ready gateway", [this, i] { return cluster.Ready(i) == 200; });
    }
    heartbeats_ = std::thread([this] {
      while (!stopping_) {
        for (ScriptedEndpoint* endpoint : { &first_, &second_ }) {
          endpoint->Register(cluster.Api(0), "plain");
        }
        absl::SleepFor(absl::Milliseconds(300));
      }
    });
    AwaitSound();
  }
  ~Site()
  {
    stopping_ = true;
    heartbeats_.join();
  }

  /** Sends a request whose first attempt gets the answer.
   * \param early whether it comes before the request's body was read
   */
  Reply Ask(const std::string& path, const ScriptedAnswer& answer,
            bool early = false, std::size_t upload = 2,
            absl::Duration unread = absl::ZeroDuration())
  {
    const std::string id = absl::StrCat("broken", ++requests_);
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      answers_[id] = { answer, early };
    }
    Reply reply = Send(path, id, upload, unread);
    absl::SleepFor(
      answer.pause); // no other request meets the connection's end
    const std::lock_guard<std::mutex> lock(mutex_);
    attempts = attempts_[id];
    return reply;
  }

  void AwaitSound()
  {
    Await("a sound answer", [this] {
      const std::string id = absl::StrCat("sound", ++requests_);
      return Send(RunOnce, id, 2).HasBody(SoundBody);
    });
  }

  /** Retries that a box did not make, as there had been so many, or as the
   * box that relays its calls is left alone after a cut answer.
   */
  int RetriesWithheld()
  {
    return cluster.Counter(0, "retries_over_budget") +
           cluster.Counter(0, "attempt_no_path");
  }

  /** How many lines of gateway 0's log hold both texts. */
  int LogLines(absl::string_view text, absl::string_view other)
  {
    std::ifstream log(cluster.FileAt("g0.log"));
    int lines = 0;
    for (std::string line; std::getline(log, line);) {
      const bool holdsBoth =
        absl::StrContains(line, text) && absl::StrContains(line, other);
      lines += holdsBoth ? 1 : 0;
    }
    return lines;
  }

  PlatformCluster cluster;
  int attempts = 0; // of the last request that was asked

private:
  static std::string Document()
  {
    nlohmann::json document =
      nlohmann::json::parse(PlatformCluster::Document(1));
    document.erase("tenants");
    nlohmann::json& routes = document["routes"];
    routes[1].erase("phases");
    routes[1]["service"] = "plain";
    routes.erase(2);
    for (const auto& [path, attempts] :
         { std::pair{ Idempotent, 1 }, std::pair{ Repeated, 2 } }) {
      nlohmann::json route = routes[0];
      route["name"] = path;
      route["pathPrefix"] = path;
      route["type"] = "idempotent";
      route["maxAttempts"] = attempts;
      routes.push_back(route);
    }
    return document.dump();
  }

  /** New connections of gateway 0 to endpoints are refused. */
  void TakePaths()
  {
    const std::string path = cluster.FileAt("routes");
    std::ofstream file(path);
    for (const ScriptedEndpoint* endpoint : { &first_, &second_ }) {
      file << endpoint->Address() << " " << Local(cluster.FreePort()) << "\n";
    }
    file.close();
    cluster.Gateway(0).Kill();
    cluster.SetGatewayFlags([path](int) {
      return std::vector<std::string>{ "--endpoint-routes=" + path };
    });
    cluster.StartGateway(0);
  }

  Reply Send(const std::string& path, const std::string& id,
             std::size_t upload, absl::Duration unread = absl::ZeroDuration())
  {
    RawCaller caller(cluster.Listen(0));
    caller.Send(absl::StrCat(
      "POST ", path, "x HTTP/1.1\r\nHost: one.example\r\n", RequestField, ": ",
      id, "\r\nX-Weirgate-Deadline-Ms: 9000\r\nConnection: close\r\n",
      "Content-Length: ", upload, "\r\n\r\n", std::string(upload, 'u')));
    absl::SleepFor(unread);
    Reply reply;
    reply.bytes = caller.ReadAll();
    reply.isReset = caller.End() != boost::asio::error::eof;
    return reply;
  }

  std::optional<ScriptedAnswer> AnswerEarly(const wg::HttpRequest& request)
  {
    const std::string id(wg::FieldOf(request, RequestField));
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = answers_.find(id);
    const bool isEarly =
      found != answers_.end() && found->second.second && attempts_[id] == 0;
    return isEarly ? std::optional(Next(id)) : std::nullopt;
  }

  ScriptedAnswer Answer(const wg::HttpRequest& request)
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    return Next(std::string(wg::FieldOf(request, RequestField)));
  }

  ScriptedAnswer Next(const std::string& id)
  {
    const auto found = answers_.find(id);
    if (++attempts_[id] > 1 || found == answers_.end()) {
      return { absl::StrCat("HTTP/1.1 200 OK\r\n", RequestField, ": ", id,
                            "\r\nContent-Length: ", SoundBody.size(),
                            "\r\n\r\n", SoundBody) };
    }
    ScriptedAnswer answer = found->second.first;
    const std::size_t at = answer.bytes.find("ECHO");
    if (at != std::string::npos) {
      answer.bytes.replace(at, 4, absl::StrCat(RequestField, ": ", id));
    }
    return answer;
  }

  std::mutex mutex_;
  std::map<std::string, std::pair<ScriptedAnswer, bool>> answers_;
  std::map<std::string, int> attempts_;
  std::atomic<int> requests_{ 0 };
  ScriptedEndpoint first_;
  ScriptedEndpoint second_;
  std::atomic<bool> stopping_{ false };
  std::thread heartbeats_;
};

enum class Framing
{
  Length,
  Chunks,
  Close
};

constexpr Framing Framings[] = { Framing::Length, Framing::Chunks,
                                 Framing::Close };

/** An answer that names its request, with fields of a test before the framing
 * ones.
 */
ScriptedAnswer MakeAnswer(const std::string& statusLine, Framing framing,
                          const std::string& fields = "",
                          const std::string& body = BrokenBody)
{
  const std::string head = absl::StrCat(statusLine, "\r\nECHO\r\n", fields);
  switch (framing) {
    case Framing::Length:
      return { absl::StrCat(head, "Content-Length: ", body.size(), "\r\n\r\n",
                            body) };
    case Framing::Chunks:
      return { absl::StrCat(head, "Transfer-Encoding: chunked\r\n\r\n",
                            absl::Hex(body.size()), "\r\n", body,
                            "\r\n0\r\n\r\n") };
    case Framing::Close:
      break;
  }
  return { absl::StrCat(head, "\r\n", body), AnswerClose::Finish };
}

/** Asks on each route, and tells what callers got that they must not. */
class Judge
{
public:
  /** \param awaits whether to wait for a sound answer before each request: a
   * box that passed on a cut one is asked to relay no more for a second
   */
  explicit Judge(Site& site, bool awaits = false)
    : site_(site)
    , awaits_(awaits)
  {
  }

  /** \brief The answer must reach no caller, and that of another attempt must
   * where a route allows one and no retry is withheld.
   */
  void CheckRefused(const std::string& name, const ScriptedAnswer& answer,
                    bool early = false, std::size_t upload = 2)
  {
    for (const char* path : { RunOnce, Idempotent, Stream }) {
      const Reply reply = Ask(path, answer, early, upload);
      const bool isRefusal = reply.Status() == "HTTP/1.1 502" &&
                             !reply.isReset && site_.attempts == 1;
      if (!isRefusal) {
        Tell(absl::StrCat(path, " ", name), reply);
      }
    }
    const int withheld = site_.RetriesWithheld();
    const Reply reply = Ask(Repeated, answer, early, upload);
    const bool isServed =
      reply.Status() == "HTTP/1.1 200" && reply.HasBody(SoundBody);
    const bool isRefused =
      reply.Status() == "HTTP/1.1 502" && site_.RetriesWithheld() > withheld;
    served_ += isServed ? 1 : 0;
    if (!isServed && !isRefused) {
      Tell(absl::StrCat(Repeated, " ", name), reply);
    }
  }

  /** \brief The answer must arrive as it is, from one attempt. */
  void CheckDelivered(const std::string& name, const ScriptedAnswer& answer,
                      const std::string& status,
                      const std::string& body = BrokenBody, bool early = false,
                      std::size_t upload = 2)
  {
    for (const char* path : { RunOnce, Idempotent, Repeated }) {
      const Reply reply = Ask(path, answer, early, upload);
      const bool isDelivered =
        absl::StartsWith(reply.bytes, "HTTP/1.1 " + status) &&
        reply.HasBody(body) && !reply.isReset && site_.attempts == 1;
      if (!isDelivered) {
        Tell(absl::StrCat(path, " ", name), reply);
      }
    }
  }

  /** \brief How many requests got another attempt's answer. */
  int Served() const { return served_; }

  /** \brief Tells what is wrong; empty: nothing. */
  std::string Faults() const
  {
    return faults_ == 0 ? ""
                        : absl::StrCat(faults_, " of ", asked_,
                                       " requests, such as", examples_);
  }

private:
  Reply Ask(const char* path, const ScriptedAnswer& answer, bool early,
            std::size_t upload)
  {
    if (awaits_) {
      site_.AwaitSound();
    }
    ++asked_;
    return site_.Ask(path, answer, early, upload);
  }

  void Tell(const std::string& name, const Reply& reply)
  {
    constexpr int mostExamples = 40;
    if (++faults_ <= mostExamples) {
      absl::StrAppend(&examples_, "\n", name, ", attempts ", site_.attempts,
                      reply.isReset ? ", reset: " : ": ",
                      absl::CHexEscape(reply.bytes.substr(0, 400)));
    }
  }

  Site& site_;
  bool awaits_;
  int asked_ = 0;
  int served_ = 0; // by another attempt
  int faults_ = 0;
  std::string examples_;
};

std::string NameOf(Framing framing)
{
  return framing == Framing::Length   ? " with a length"
         : framing == Framing::Chunks ? " in chunks"
                                      : " by close";
}

} // namespace

// An endpoint in trouble answered with the status 000, and its caller got it.
TEST_CASE("Answers whose status is none reach no caller", "[status]")
{
  Site site;
  Judge judge(site);
  for (const std::string status :
       { "000", "001", "099", "600", "700", "999" }) {
    for (const Framing framing : Framings) {
      judge.CheckRefused(status + NameOf(framing),
                         MakeAnswer("HTTP/1.1 " + status + " Odd", framing));
      judge.CheckRefused(
        status + " after an interim head" + NameOf(framing),
        { "HTTP/1.1 103 Early Hints\r\n\r\n" +
            MakeAnswer("HTTP/1.1 " + status + " Odd", framing).bytes,
          AnswerClose::Finish });
    }
  }
  for (const char* status : { "20", "2000", "-20", "2x0", "" }) {
    judge.CheckRefused(
      absl::StrCat("'", status, "'"),
      MakeAnswer(absl::StrCat("HTTP/1.1 ", status, " Odd"), Framing::Length));
  }
  INFO(judge.Faults());
  CHECK(judge.Faults().empty());
  CHECK(judge.Served() > 0);
  CHECK(site.cluster.Counter(0, "unsound_answer_status") > 0);
  CHECK(site.cluster.Counter(0, "unsound_answer_syntax") > 0);
  CHECK(site.LogLines("\"event\":\"unsound_answer\"", "\"endpoint\":\"first") >
        0);
  site.AwaitSound();
}

// A first line of HTTP/1.0 was passed on, before chunks that it rules out.
TEST_CASE("Answers of HTTP/1.0 reach callers as those of HTTP/1.1",
          "[http-1.0]")
{
  Site site;
  const std::string event = "id: 1\ndata: e\n\n";
  for (const Framing framing : Framings) {
    CAPTURE(NameOf(framing));
    ScriptedAnswer stream =
      MakeAnswer("HTTP/1.0 200 OK", framing,
                 "Content-Type: text/event-stream\r\n", event);
    stream.close = AnswerClose::Finish;
    const Reply events = site.Ask(Stream, stream);
    INFO(events.bytes);
    CHECK(events.Status() == "HTTP/1.1 200");
    CHECK(absl::StrContains(events.bytes, event));
    CHECK_FALSE(events.isReset);
    const Reply plain =
      site.Ask(Idempotent, MakeAnswer("HTTP/1.0 404 Odd", framing));
    INFO(plain.bytes);
    CHECK(plain.Status() == "HTTP/1.1 404");
    CHECK(plain.HasBody(BrokenBody));
  }
}

// Nothing asks for another protocol.
TEST_CASE("Answers that switch protocols reach no caller", "[switch]")
{
  Site site;
  Judge judge(site);
  const std::string upgrade = "HTTP/1.1 101 Switching Protocols\r\nECHO\r\n"
                              "Connection: Upgrade\r\nUpgrade: other\r\n\r\n";
  judge.CheckRefused("101", { upgrade, AnswerClose::Finish });
  judge.CheckRefused("101 with bytes", { upgrade + "\x16\x03\x01other" });
  judge.CheckRefused(
    "101 before an answer",
    { upgrade + MakeAnswer("HTTP/1.1 200 OK", Framing::Length).bytes });
  INFO(judge.Faults());
  CHECK(judge.Faults().empty());
  CHECK(judge.Served() > 0);
  site.AwaitSound();
}

TEST_CASE("Answers of each sound status arrive", "[sound-status]")
{
  Site site;
  Judge judge(site);
  for (const std::string status :
       { "200", "201", "203", "206", "226", "299", "300", "302", "399", "400",
         "404", "418", "451", "499" }) {
    for (const Framing framing : Framings) {
      judge.CheckDelivered(status + NameOf(framing),
                           MakeAnswer("HTTP/1.1 " + status + " Odd", framing),
                           status);
    }
    judge.CheckDelivered(
      status + " without a reason",
      MakeAnswer("HTTP/1.1 " + status + " ", Framing::Length), status);
  }
  for (const std::string status : { "204", "304" }) {
    judge.CheckDelivered(
      status, { "HTTP/1.1 " + status + " Odd\r\nECHO\r\n\r\n" }, status, "");
  }
  for (const std::string interim : { "100 Continue", "103 Early Hints" }) {
    judge.CheckDelivered(
      interim,
      { "HTTP/1.1 " + interim + "\r\n\r\n" +
        MakeAnswer("HTTP/1.1 200 OK", Framing::Chunks).bytes },
      "200");
  }
  INFO(judge.Faults());
  CHECK(judge.Faults().empty());
  // One attempt is all that these routes allow.
  for (const std::string status : { "500", "501", "599" }) {
    for (const char* path : { RunOnce, Idempotent }) {
      CAPTURE(status, path);
      const Reply reply = site.Ask(
        path, MakeAnswer("HTTP/1.1 " + status + " Odd", Framing::Length));
      CHECK(reply.Status() == "HTTP/1.1 " + status);
      CHECK(reply.HasBody(BrokenBody));
    }
  }
}

// The field that named the coding was not passed on: callers took the coded
// bytes, or the chunks themselves, for the content.
TEST_CASE("Answers in a transfer coding that is not known reach no caller",
          "[coding]")
{
  Site site;
  Judge judge(site);
  const std::string ok = "HTTP/1.1 200 OK\r\nECHO\r\n";
  const std::string coded = "\x1f\x8b\x08 coded";
  const std::string chunks = "6\r\nbroken\r\n0\r\n\r\n";
  const std::string length =
    absl::StrCat("Content-Length: ", coded.size(), "\r\n");
  const auto field = [](const std::string& value) {
    return "Transfer-Encoding: " + value + "\r\n";
  };
  const std::pair<std::string, std::string> answers[] = {
    { "gzip before a length", ok + field("gzip") + length + "\r\n" + coded },
    { "gzip after a length", ok + length + field("gzip") + "\r\n" + coded },
    { "gzip by close", ok + field("gzip") + "\r\n" + coded },
    { "gzip, chunked", ok + field("gzip, chunked") + "\r\n" + chunks },
    { "two lines", ok + field("gzip") + field("chunked") + "\r\n" + chunks },
    { "two lines, chunked first",
      ok + field("chunked") + field("gzip") + "\r\n" + chunks },
    { "chunked, gzip", ok + field("chunked, gzip") + "\r\n" + chunks },
    { "chunked, chunked", ok + field("chunked, chunked") + "\r\n" + chunks },
    { "xchunked", ok + field("xchunked") + "\r\n" + chunks },
    { "chunkedx", ok + field("chunkedx") + "\r\n" + chunks },
    { "a quoted name", ok + field("\"chunked\"") + "\r\n" + chunks },
    { "a parameter", ok + field("chunked;a=b") + "\r\n" + chunks },
    { "no name", ok + field("") + "\r\n" + chunks },
    { "a length beside chunks",
      ok + field("chunked") + length + "\r\n" + chunks },
    { "two lengths",
      ok + "Content-Length: 6\r\nContent-Length: 7\r\n\r\nbroken!" },
    { "a signed length", ok + "Content-Length: +6\r\n\r\nbroken" },
  };
  for (const auto& [name, bytes] : answers) {
    judge.CheckRefused(name, { bytes, AnswerClose::Finish });
    judge.CheckRefused(
      name + " of an error",
      { "HTTP/1.1 404 Not Found" + bytes.substr(15), AnswerClose::Finish });
  }
  INFO(judge.Faults());
  CHECK(judge.Faults().empty());
  CHECK(judge.Served() > 0);
  site.AwaitSound();
}

TEST_CASE("Answers in chunks arrive however the coding is written",
          "[sound-coding]")
{
  Site site;
  Judge judge(site);
  for (const std::string value : { "chunked", "Chunked", "CHUNKED",
                                   "\tchunked ", ", chunked", "chunked ," }) {
    judge.CheckDelivered(value,
                         { "HTTP/1.1 200 OK\r\nECHO\r\nTransfer-Encoding:" +
                           value + "\r\n\r\n6\r\nbroken\r\n0\r\n\r\n" },
                         "200");
  }
  judge.CheckDelivered(
    "a length that is said twice",
    { "HTTP/1.1 200 OK\r\nECHO\r\nContent-Length: 6, 6\r\n\r\nbroken" },
    "200");
  // RFC 9112, 6.1: it tells the coding that an answer to GET would have.
  judge.CheckDelivered("304 that names a coding",
                       { "HTTP/1.1 304 Not Modified\r\nECHO\r\n"
                         "Transfer-Encoding: gzip, chunked\r\n\r\n" },
                       "304", "");
  INFO(judge.Faults());
  CHECK(judge.Faults().empty());
}

// Seen on other systems: the name of a field held a blank or a control byte,
// and the line was passed on, or the body was another one.
TEST_CASE("Answers with a field's name that is none reach no caller",
          "[field-names]")
{
  Site site;
  Judge judge(site);
  const std::string nul(1, '\0');
  const std::pair<std::string, std::string> lines[] = {
    { "a blank in a name", "X Bad: 1" },
    { "a blank before the colon", "X-Bad : 1" },
    { "a tab in a name", "X\tBad: 1" },
    { "a tab before the colon", "X-Bad\t: 1" },
    { "a control byte in a name", "X\x01"
                                  "Bad: 1" },
    { "an escape in a name", "X\x1b"
                             "Bad: 1" },
    { "a NUL in a name", "X" + nul + "Bad: 1" },
    { "a DEL in a name", "X\x7f"
                         "Bad: 1" },
    { "a byte over 0x7f in a name", "X\xc3\xa4: 1" },
    { "the byte 0xff in a name", "X\xff: 1" },
    { "a CR in a name", "X\rBad: 1" },
    { "an LF in a name", "X\nBad: 1" },
    { "no name", ": 1" },
    { "no colon", "X-Bad" },
    { "a blank alone before a colon", " : 1" },
    { "a parenthesis in a name", "X(Bad): 1" },
    { "a length with a blank before the colon", "Content-Length : 3" },
    { "a coding with a control byte", "Transfer-Encoding\x0b: chunked" },
    { "a control byte in a value", "X-Bad: 1\x01"
                                   "2" },
    { "a NUL in a value", "X-Bad: 1" + nul + "2" },
    { "a bare CR in a value", "X-Bad: 1\rX-Other: 2" },
  };
  for (const auto& [name, line] : lines) {
    for (const Framing framing : Framings) {
      judge.CheckRefused(
        name + NameOf(framing),
        MakeAnswer("HTTP/1.1 200 OK", framing, line + "\r\n"));
    }
    ScriptedAnswer first = MakeAnswer("HTTP/1.1 200 OK", Framing::Length);
    first.bytes.insert(first.bytes.find("ECHO"), line + "\r\n");
    judge.CheckRefused(name + " in the first line", first);
    judge.CheckRefused(
      name + " in an interim head",
      { "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" +
        MakeAnswer("HTTP/1.1 200 OK", Framing::Length).bytes });
  }
  INFO(judge.Faults());
  CHECK(judge.Faults().empty());
  CHECK(judge.Served() > 0);
  site.AwaitSound();
}

// An endpoint answered a long upload at once, without a length, and reset the
// connection while the upload was being written. Its caller got what had come
// as the whole answer.
TEST_CASE(
  "Answers that end by a reset while the request is sent are not whole",
  "[reset-while-sending]")
{
  Site site;
  Judge judge(site);
  for (const std::size_t upload : { 64U << 10U, 1U << 20U, 4000000U }) {
    for (const AnswerClose close :
         { AnswerClose::Reset, AnswerClose::CloseUnread }) {
      for (const char* pause : { "0ms", "30ms" }) {
        const std::string of = absl::StrCat(
          " of ", upload, " bytes",
          close == AnswerClose::Reset ? "" : ", unread", " after ", pause);
        absl::Duration after;
        REQUIRE(absl::ParseDuration(pause, &after));
        for (const std::string status :
             { "1.1 200", "1.1 206", "1.1 404", "1.1 500", "1.0 200" }) {
          for (const std::string& body :
               { std::string(), std::string(4000, 'b') }) {
            judge.CheckRefused(
              absl::StrCat(status, " and ", body.size(), " bytes", of),
              { absl::StrCat("HTTP/", status, " Odd\r\nECHO\r\n\r\n", body),
                close, after },
              true, upload);
          }
        }
        judge.CheckRefused("nothing" + of, { "", close, after }, true, upload);
        judge.CheckRefused("half a head" + of,
                           { "HTTP/1.1 200 OK\r\nEC", close, after }, true,
                           upload);
        judge.CheckRefused(
          "a part of its length" + of,
          { "HTTP/1.1 200 OK\r\nECHO\r\nContent-Length: 99\r\n\r\nbroken",
            close, after },
          true, upload);
        judge.CheckRefused("a part of its chunks" + of,
                           { "HTTP/1.1 200 OK\r\nECHO\r\nTransfer-Encoding: "
                             "chunked\r\n\r\n6\r\nbroken\r\n",
                             close, after },
                           true, upload);
      }
    }
  }
  INFO(judge.Faults());
  CHECK(judge.Faults().empty());
  CHECK(judge.Served() > 0);
  site.AwaitSound();
}

// What has reached the caller by then can't be taken back: its connection must
// not end in order.
TEST_CASE("Streams that end by a reset while the request is sent break off",
          "[stream-reset-while-sending]")
{
  Site site;
  const std::string event = "id: 1\ndata: e\n\n";
  int begun = 0;
  for (const int unreadMs : { 0, 300 }) {
    for (const AnswerClose close :
         { AnswerClose::Reset, AnswerClose::CloseUnread }) {
      for (const int pauseMs : { 0, 0, 5, 5, 30, 30, 100, 100 }) {
        const ScriptedAnswer answer{
          absl::StrCat("HTTP/1.1 200 OK\r\nECHO\r\n"
                       "Content-Type: text/event-stream\r\n\r\n",
                       event),
          close, absl::Milliseconds(pauseMs)
        };
        const Reply reply = site.Ask(Stream, answer, true, LongUpload,
                                     absl::Milliseconds(unreadMs));
        INFO(absl::CHexEscape(reply.bytes));
        const bool hasBegun = reply.Status() == "HTTP/1.1 200";
        CHECK((reply.Status() == "HTTP/1.1 502" || hasBegun));
        CHECK(reply.isReset == hasBegun);
        CHECK(site.attempts == 1);
        begun += hasBegun ? 1 : 0;
      }
    }
  }
  CHECK(begun > 0);
}

// The answer is whole by its framing, whatever becomes of its connection.
TEST_CASE("Early answers that are whole arrive though a reset follows",
          "[early-answers]")
{
  Site site;
  Judge judge(site);
  const std::string body(4000, 'b');
  for (const AnswerClose close :
       { AnswerClose::Reset, AnswerClose::CloseUnread, AnswerClose::Drain }) {
    for (const Framing framing : { Framing::Length, Framing::Chunks }) {
      for (const std::string status : { "200", "206", "403", "413" }) {
        ScriptedAnswer answer =
          MakeAnswer("HTTP/1.1 " + status + " Odd", framing, "", body);
        answer.close = close;
        answer.pause = absl::Milliseconds(50);
        judge.CheckDelivered(status + NameOf(framing), answer, status, body,
                             true, LongUpload);
      }
    }
  }
  INFO(judge.Faults());
  CHECK(judge.Faults().empty());
}

TEST_CASE("Early answers without a length that end in order arrive",
          "[early-answers]")
{
  Site site;
  Judge judge(site);
  const std::string body(4000, 'b');
  for (const std::string status : { "200", "403", "413" }) {
    ScriptedAnswer answer =
      MakeAnswer("HTTP/1.1 " + status + " Odd", Framing::Close, "", body);
    answer.close = AnswerClose::Drain;
    judge.CheckDelivered(status, answer, status, body, true, LongUpload);
  }
  INFO(judge.Faults());
  CHECK(judge.Faults().empty());
}

// A box that reaches no endpoint reads the answers as another one passes them
// on.
TEST_CASE("Broken answers reach no caller over a relay", "[relay]")
{
  Site site(true);
  Judge judge(site, true);
  for (const std::string status : { "000", "099", "600", "999" }) {
    for (const Framing framing : Framings) {
      judge.CheckRefused(status + NameOf(framing),
                         MakeAnswer("HTTP/1.1 " + status + " Odd", framing));
    }
  }
  const std::string ok = "HTTP/1.1 200 OK\r\nECHO\r\n";
  judge.CheckRefused("gzip", { ok + "Transfer-Encoding: gzip\r\n"
                                    "Content-Length: 6\r\n\r\nbroken" });
  judge.CheckRefused(
    "a blank in a name",
    MakeAnswer("HTTP/1.1 200 OK", Framing::Length, "X Bad: 1\r\n"));
  for (const AnswerClose close :
       { AnswerClose::Reset, AnswerClose::CloseUnread }) {
    for (const int pauseMs : { 0, 30 }) {
      judge.CheckRefused("a reset while the request is sent",
                         { ok + "\r\n" + std::string(4000, 'b'), close,
                           absl::Milliseconds(pauseMs) },
                         true, LongUpload);
    }
  }
  judge.CheckDelivered("a sound answer",
                       MakeAnswer("HTTP/1.1 404 Odd", Framing::Chunks), "404");
  INFO(judge.Faults());
  CHECK(judge.Faults().empty());
  CHECK(site.cluster.Counter(0, "relayed_calls") > 0);
  CHECK(site.cluster.Counter(0, "endpoint_path_regained") == 0);
}
