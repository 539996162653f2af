#include "support/cluster.hpp"

#include "sapphirehook/core/text.hpp"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>

namespace {

using sapphirehook::BootClock;
using sapphirehook::Concat;
using sapphirehook::TimePoint;
using support::Cluster;
using Json = nlohmann::json;

constexpr int kRuns = 20;
constexpr std::size_t kDaemons = 4;
constexpr std::size_t kEndpoints = 6;
constexpr auto kSettle = std::chrono::milliseconds(2500);

double
MsSince(TimePoint aStart)
{
  return std::chrono::duration<double, std::milli>(BootClock::now() - aStart)
    .count();
}

/** Waits until a request for the key is answered, by an answer without the
    excluded text if one is given. Returns the milliseconds since the start. */
double
AwaitAnswer(const Cluster& aCluster,
            std::size_t aDaemon,
            const std::string& aKey,
            const std::string& aExcludedText,
            TimePoint aStart)
{
  Cluster::Await([&] {
    const auto answer = aCluster.Ask(aDaemon,
                                     "GET",
                                     Concat("/catalogue/", aKey, "/item"),
                                     "",
                                     { "Sapphirehook-Deadline-Ms: 150" },
                                     sapphirehook::Millis(400));
    return answer.ok() && answer->m_status == 200 &&
           (aExcludedText.empty() ||
            answer->m_body.find(aExcludedText) == std::string::npos);
  });
  return MsSince(aStart);
}

std::size_t
NextDaemon(std::size_t aIndex)
{
  return (aIndex + 1) % kDaemons;
}

double
MeasureEndpointLoss(Cluster& aCluster, int aRun, int aSignal)
{
  const auto key = Concat("k", aRun);
  const auto owner = aCluster.AwaitServed(0, key);
  const auto index = Cluster::IndexOf(owner);
  const auto start = BootClock::now();
  aCluster.Endpoint(index).Signal(aSignal);
  const auto recovery =
    AwaitAnswer(aCluster, 0, key, Concat("\"", owner, "\""), start);
  if (aSignal == SIGKILL) {
    aCluster.KillEndpoint(index);
    aCluster.StartEndpoint(index);
  } else {
    aCluster.Endpoint(index).Signal(SIGCONT);
  }
  return recovery;
}

double
MeasureDispatcherLoss(Cluster& aCluster, int aRun, int aSignal)
{
  const auto key = Concat("k", aRun);
  const auto owner = aCluster.AwaitServed(0, key);
  const auto leader = aCluster.LeaderOf(0, owner);
  const auto entry = NextDaemon(leader);
  aCluster.AwaitServed(entry, key);
  const auto start = BootClock::now();
  aCluster.Daemon(leader).Signal(aSignal);
  const auto recovery = AwaitAnswer(aCluster, entry, key, "", start);
  // The first answer can precede the loss; only the successor's counts.
  Cluster::Await([&] { return aCluster.LeaderOf(entry, owner) != leader; });
  const auto takeover = AwaitAnswer(aCluster, entry, key, "", start);
  if (aSignal == SIGKILL) {
    aCluster.StopDaemon(leader);
    aCluster.StartDaemon(leader);
  } else {
    aCluster.Daemon(leader).Signal(SIGCONT);
  }
  return std::max(recovery, takeover);
}

double
MeasureCombinedLoss(Cluster& aCluster, int aRun)
{
  const auto key = Concat("k", aRun);
  const auto owner = aCluster.AwaitServed(0, key);
  const auto index = Cluster::IndexOf(owner);
  const auto leader = aCluster.LeaderOf(0, owner);
  const auto entry = NextDaemon(leader);
  aCluster.AwaitServed(entry, key);
  const auto start = BootClock::now();
  aCluster.Daemon(leader).Signal(SIGKILL);
  aCluster.Endpoint(index).Signal(SIGKILL);
  const auto recovery =
    AwaitAnswer(aCluster, entry, key, Concat("\"", owner, "\""), start);
  aCluster.StopDaemon(leader);
  aCluster.StartDaemon(leader);
  aCluster.KillEndpoint(index);
  aCluster.StartEndpoint(index);
  return recovery;
}

template<typename Sample>
Json
Measure(const std::string& aName, Sample aSample)
{
  Cluster cluster({ kDaemons, kEndpoints, 1, {}, "" });
  cluster.AwaitServed(0, "k0");
  std::this_thread::sleep_for(kSettle);
  std::vector<double> recoveries;
  for (int run = 0; run < kRuns; ++run) {
    recoveries.push_back(aSample(cluster, run));
    Cluster::Await([&] {
      const auto status = cluster.Page(0, "/status");
      if (!status.is_object() || status.at("members").size() < kDaemons) {
        return false;
      }
      for (const auto& endpoint : status.at("endpoints")) {
        if (!endpoint.at("up").get<bool>()) {
          return false;
        }
      }
      return true;
    });
    std::this_thread::sleep_for(kSettle);
  }
  std::sort(recoveries.begin(), recoveries.end());
  std::cerr << aName << ": min " << recoveries.front() << " median "
            << recoveries[recoveries.size() / 2] << " max " << recoveries.back()
            << " ms\n";
  return { { "name", aName },
           { "unit", "ms" },
           { "runs", recoveries.size() },
           { "min", recoveries.front() },
           { "median", recoveries[recoveries.size() / 2] },
           { "max", recoveries.back() },
           { "spans", recoveries } };
}

} // namespace

int
main(int aCount, char** aArguments)
{
  sapphirehook::InitHttp();
  Json all = Json::array();
  all.push_back(Measure("endpoint_killed", [](Cluster& aCluster, int aRun) {
    return MeasureEndpointLoss(aCluster, aRun, SIGKILL);
  }));
  all.push_back(Measure("endpoint_frozen", [](Cluster& aCluster, int aRun) {
    return MeasureEndpointLoss(aCluster, aRun, SIGSTOP);
  }));
  all.push_back(Measure("dispatcher_killed", [](Cluster& aCluster, int aRun) {
    return MeasureDispatcherLoss(aCluster, aRun, SIGKILL);
  }));
  all.push_back(Measure("dispatcher_frozen", [](Cluster& aCluster, int aRun) {
    return MeasureDispatcherLoss(aCluster, aRun, SIGSTOP);
  }));
  all.push_back(Measure("dispatcher_and_endpoint_killed", MeasureCombinedLoss));
  const auto text = all.dump(2) + "\n";
  if (aCount > 1) {
    std::ofstream(aArguments[1]) << text;
  } else {
    std::cout << text;
  }
  return 0;
}
