// SPDX-License-Identifier: Apache-2.0
// Measures real processes on loopback: reports, not verdicts.
#include <algorithm>
#include <atomic>
#include <cstdio>
#include <functional>
#include <thread>

#include <httplib.h>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/time/clock.h"

#include "wgServiceState.h"
#include "wgTestCluster.h"

namespace {

using wg::test::Await;
using wg::test::CallerRecord;
using wg::test::ClusterLayout;
using wg::test::TestCluster;
using wg::test::WaitFor;

constexpr int StatusOk = 200;
constexpr double MsPerSecond = 1000.0;

double Quantile(std::vector<double> values, double q)
{
  std::sort(values.begin(), values.end());
  const auto at =
    static_cast<std::size_t>(q * static_cast<double>(values.size() - 1));
  return values.empty() ? 0.0 : values[at];
}

double TimeMs(const std::function<void()>& run)
{
  const absl::Time start = absl::Now();
  run();
  return absl::ToDoubleMilliseconds(absl::Now() - start);
}

double Counter(TestCluster& cluster, int entry, const std::string& name)
{
  const auto text = cluster.Get(cluster.EntryPort(entry), "/metrics");
  if (!text.is_string()) {
    return 0.0;
  }
  const std::string metrics = text.get<std::string>();
  const std::size_t at = metrics.find("\"" + name + "\"} ");
  return at == std::string::npos
           ? 0.0
           : std::atof(metrics.c_str() + at + name.size() + 4);
}

/** The same stages called straight, and through an entry. */
void MeasureAddedTime()
{
  ClusterLayout layout;
  layout.stageMs = 0;
  layout.entries = 1;
  TestCluster cluster(layout);
  httplib::Client client("127.0.0.1", cluster.EntryPort(0));
  client.set_keep_alive(true);
  client.set_tcp_nodelay(true);
  const httplib::Headers headers{ { "Weirgate-Account", "a" } };
  std::vector<double> through;
  for (int i = 0; i < 1000; ++i) {
    through.push_back(TimeMs([&] {
      client.Post("/v1/pipelines/full", headers,
                  R"({"input": "abcd", "max_tokens": 1})", "application/json");
    }));
  }
  std::vector<double> straight;
  std::vector<std::unique_ptr<httplib::Client>> clients;
  const std::vector<std::pair<std::string, std::string>> stages = {
    { "encode-1", "/v1/embeddings" },
    { "retrieve-1", "/v1/retrieve" },
    { "rerank-1", "/v1/rerank" },
    { "llm-1", "/v1/completions" }
  };
  for (const auto& [name, path] : stages) {
    clients.push_back(
      std::make_unique<httplib::Client>("127.0.0.1", cluster.PortOf(name)));
    clients.back()->set_keep_alive(true);
    clients.back()->set_tcp_nodelay(true);
  }
  for (int i = 0; i < 1000; ++i) {
    straight.push_back(TimeMs([&] {
      for (std::size_t s = 0; s < stages.size(); ++s) {
        clients[s]->Post(stages[s].second,
                         R"({"input": "abcd", "prompt": "abcd",
                             "max_tokens": 1})",
                         "application/json");
      }
    }));
  }
  std::printf("added time, 4 stages of no time, 1000 requests: through the "
              "entry p50 %.2f p99 %.2f ms, straight p50 %.2f p99 %.2f ms, "
              "added at the median %.2f ms\n",
              Quantile(through, 0.5), Quantile(through, 0.99),
              Quantile(straight, 0.5), Quantile(straight, 0.99),
              Quantile(through, 0.5) - Quantile(straight, 0.5));
}

void MeasureStreams()
{
  ClusterLayout layout;
  layout.entries = 1;
  layout.slots = 300;
  layout.connections = 600;
  layout.stageMs = 400;
  layout.deadlineMs = 60000;
  TestCluster cluster(layout);
  std::atomic<int> whole{ 0 };
  std::atomic<int> open{ 0 };
  std::vector<std::thread> threads;
  for (int i = 0; i < 500; ++i) {
    threads.emplace_back([&, i] {
      httplib::Client client("127.0.0.1", cluster.EntryPort(0));
      client.set_read_timeout(60, 0);
      const httplib::Headers headers{ { "Weirgate-Account", "a" },
                                      { "Accept", "text/event-stream" } };
      bool first = true;
      std::string text;
      httplib::Request request;
      request.method = "POST";
      request.path = "/v1/pipelines/answer";
      request.headers = headers;
      request.body = absl::StrFormat(
        R"({"input": "stream %04d of the measurement", "max_tokens": 8})", i);
      request.content_receiver = [&](const char* data, std::size_t size,
                                     std::uint64_t, std::uint64_t) {
        open += first ? 1 : 0;
        first = false;
        text.append(data, size);
        return true;
      };
      const auto result = client.send(request);
      const bool ended =
        result && text.find("event: answer") != std::string::npos;
      whole += ended ? 1 : 0;
    });
  }
  Await("open streams", [&] { return open >= 500; });
  const long kilobytes = cluster.Entry(0).ResidentKilobytes();
  for (std::thread& thread : threads) {
    thread.join();
  }
  std::printf("500 streams open at once: %d began, %d whole, entry %.1f MB "
              "resident\n",
              open.load(), whole.load(),
              static_cast<double>(kilobytes) / 1024.0);
}

/** An open loop through all entries, and what it costs them. */
void MeasureRate(int entries, double rate, double seconds)
{
  ClusterLayout layout;
  layout.entries = entries;
  layout.stageMs = 2;
  layout.slots = 32;
  layout.connections = 128;
  TestCluster cluster(layout);
  const int count = static_cast<int>(rate * seconds);
  std::atomic<int> next{ 0 };
  std::atomic<int> whole{ 0 };
  std::vector<double> cpuBefore;
  std::vector<double> bytesBefore;
  for (int e = 0; e < entries; ++e) {
    cpuBefore.push_back(cluster.Entry(e).ProcessorSeconds());
    bytesBefore.push_back(Counter(cluster, e, "peer_bytes"));
  }
  const absl::Time start = absl::Now();
  std::vector<std::thread> threads;
  for (int t = 0; t < 64; ++t) {
    threads.emplace_back([&] {
      for (int i = next++; i < count; i = next++) {
        absl::SleepFor(start + absl::Seconds(i / rate) - absl::Now());
        const CallerRecord record =
          cluster.Call(i % entries, "full", absl::StrCat("rate ", i));
        whole += record.status == StatusOk ? 1 : 0;
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const double took = absl::ToDoubleSeconds(absl::Now() - start);
  double cpu = 0.0;
  double bytes = 0.0;
  long memory = 0;
  for (int e = 0; e < entries; ++e) {
    cpu += cluster.Entry(e).ProcessorSeconds() -
           cpuBefore[static_cast<std::size_t>(e)];
    bytes += Counter(cluster, e, "peer_bytes") -
             bytesBefore[static_cast<std::size_t>(e)];
    memory = std::max(memory, cluster.Entry(e).ResidentKilobytes());
  }
  std::printf("%d entries at %.0f requests/s for %.1f s: %d of %d whole; an "
              "entry %.2f%% of a core, %.0f peer bytes/s, %.1f MB\n",
              entries, rate, took, whole.load(), count,
              cpu / took / entries * 100.0, bytes / took / entries,
              static_cast<double>(memory) / 1024.0);
}

void MeasureIdle(int entries)
{
  ClusterLayout layout;
  layout.entries = entries;
  TestCluster cluster(layout);
  std::vector<double> before;
  const double bytesBefore = Counter(cluster, 0, "peer_bytes");
  const double entryBefore = cluster.Entry(0).ProcessorSeconds();
  const double controlBefore = cluster.Control(0).ProcessorSeconds();
  const double seconds = 10.0;
  absl::SleepFor(absl::Seconds(seconds));
  std::printf(
    "%d entries at rest: an entry %.2f%% of a core, %.0f peer "
    "bytes/s, %.1f MB; a control box %.2f%% of a core, %.1f MB\n",
    entries,
    (cluster.Entry(0).ProcessorSeconds() - entryBefore) / seconds * 100.0,
    (Counter(cluster, 0, "peer_bytes") - bytesBefore) / seconds,
    static_cast<double>(cluster.Entry(0).ResidentKilobytes()) / 1024.0,
    (cluster.Control(0).ProcessorSeconds() - controlBefore) / seconds * 100.0,
    static_cast<double>(cluster.Control(0).ResidentKilobytes()) / 1024.0);
}

void MeasureChanges(int authors, int count)
{
  ClusterLayout layout;
  layout.entries = 1;
  TestCluster cluster(layout);
  const int leader = cluster.FindLeader();
  const double cpuBefore = cluster.Control(leader).ProcessorSeconds();
  std::atomic<int> next{ 0 };
  std::vector<std::vector<double>> times(static_cast<std::size_t>(authors));
  std::vector<std::thread> threads;
  const double total = TimeMs([&] {
    for (auto& own : times) {
      threads.emplace_back([&] {
        wg::PeerClient client("test-peer-key", "peer");
        const std::string address =
          absl::StrCat("127.0.0.1:", cluster.ControlPort(leader));
        for (int i = next++; i < count; i = next++) {
          wg::wire::Change change;
          wg::wire::TakeClaim& take = *change.mutable_take_claim();
          take.set_account("a");
          take.set_key(absl::StrCat("key-", i));
          take.set_request(absl::StrCat("request-", i));
          own.push_back(TimeMs([&] {
            const auto reply =
              client.CallAndWait(address, "/change",
                                 change.SerializeAsString(), absl::Seconds(5));
            if (!wg::Succeeded(reply)) {
              std::printf("a claim failed\n");
            }
          }));
        }
      });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
  });
  std::vector<double> all;
  for (const auto& own : times) {
    all.insert(all.end(), own.begin(), own.end());
  }
  const double cpu = cluster.Control(leader).ProcessorSeconds() - cpuBefore;
  std::printf("claims by quorum, %d at once: %.0f a second, p50 %.2f p99 "
              "%.2f ms, leader %.0f us of processor each\n",
              authors, count / total * MsPerSecond, Quantile(all, 0.5),
              Quantile(all, 0.99), cpu / count * 1e6);
}

/** What one accepted change of the configuration costs the control boxes. */
void MeasureChangeCost(int entries, int count)
{
  ClusterLayout layout;
  layout.entries = entries;
  layout.compactAfter = 1000000;
  TestCluster cluster(layout);
  const auto processor = [&cluster] {
    double seconds = 0.0;
    for (int i = 0; i < 3; ++i) {
      seconds += cluster.Control(i).ProcessorSeconds();
    }
    return seconds;
  };
  const auto passed = [&cluster] {
    double bytes = 0.0;
    for (int i = 0; i < 3; ++i) {
      bytes += static_cast<double>(cluster.ControlWire(i).Passed());
    }
    return bytes;
  };
  const double restSeconds = 5.0;
  const double restCpu = processor();
  const double restBytes = passed();
  absl::SleepFor(absl::Seconds(restSeconds));
  const double cpuRate = (processor() - restCpu) / restSeconds;
  const double byteRate = (passed() - restBytes) / restSeconds;
  const double cpuBefore = processor();
  const double bytesBefore = passed();
  std::vector<double> times;
  const double total = TimeMs([&] {
    for (int i = 0; i < count; ++i) {
      times.push_back(TimeMs([&] { cluster.SetWeight(1.0 + i); }));
    }
  });
  const double seconds = total / MsPerSecond;
  std::printf(
    "changes of the configuration, one at a time, %d entries: %.0f a second, "
    "p50 %.2f p99 %.2f ms; above rest %.0f us of processor and %.0f bytes "
    "each at a control box (at rest %.0f bytes/s)\n",
    entries, count / seconds, Quantile(times, 0.5), Quantile(times, 0.99),
    (processor() - cpuBefore - cpuRate * seconds) / count / 3.0 * 1e6,
    (passed() - bytesBefore - byteRate * seconds) / count / 3.0,
    byteRate / 3.0);
}

/** Time from starting a control process until it knows all changes. */
void MeasureRestart(int changes, bool snapshots)
{
  ClusterLayout layout;
  layout.controls = 1;
  layout.entries = 1;
  layout.compactAfter = snapshots ? 2000 : 1000000;
  TestCluster cluster(layout);
  wg::PeerClient client("test-peer-key", "peer");
  const std::string address =
    absl::StrCat("127.0.0.1:", cluster.ControlPort(0));
  std::atomic<int> open{ 0 };
  const absl::Time start = absl::Now();
  for (int i = 0; i < changes; ++i) {
    wg::wire::Change change;
    wg::wire::TakeClaim& take = *change.mutable_take_claim();
    take.set_account("a");
    take.set_key(absl::StrCat("key-", i));
    take.set_request("r");
    ++open;
    client.Call(address, "/change", change.SerializeAsString(),
                absl::Seconds(60),
                [&open](const wg::Outcome<std::string>&) { --open; });
    while (open > 500) {
      absl::SleepFor(absl::Microseconds(100));
    }
  }
  Await("open streams", [&] { return open == 0; });
  const double rate = changes / absl::ToDoubleSeconds(absl::Now() - start);
  const double megabytes =
    static_cast<double>(cluster.Control(0).ResidentKilobytes()) / 1024.0;
  cluster.Control(0).Kill();
  const double ms = TimeMs([&] {
    cluster.StartControl(0);
    Await("open streams", [&] {
      return cluster.StatusOfControl(0).value("claims", 0) >= changes;
    });
  });
  std::printf("restart of a control box after %d claims, %s: %.0f ms; they "
              "were taken at %.0f a second and left it at %.1f MB\n",
              changes, snapshots ? "with snapshots" : "without", ms, rate,
              megabytes);
}

} // namespace

/** All measurements, or the one that is named. */
int main(int argc, char** argv)
{
  const std::string only = argc > 1 ? argv[1] : "";
  const auto measure = [&only](const char* name,
                               const std::function<void()>& run) {
    if (only.empty() || only == name) {
      run();
    }
  };
  measure("added-time", MeasureAddedTime);
  measure("streams", MeasureStreams);
  measure("rate", [] {
    MeasureRate(1, 200, 10);
    for (const double rate : { 100.0, 200.0, 400.0 }) {
      MeasureRate(4, rate, 10);
    }
  });
  measure("rest", [] {
    for (const int entries : { 3, 9, 18 }) {
      MeasureIdle(entries);
    }
  });
  measure("claims", [] {
    for (const int authors : { 1, 16, 64 }) {
      MeasureChanges(authors, 3000);
    }
  });
  measure("changes", [] {
    for (const int entries : { 1, 3, 9 }) {
      MeasureChangeCost(entries, 1000);
    }
  });
  measure("restart", [] {
    for (const int changes : { 1000, 10000, 100000 }) {
      MeasureRestart(changes, true);
      MeasureRestart(changes, false);
    }
  });
  return 0;
}
