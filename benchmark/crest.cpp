#include "sapphirehook/core/hash.hpp"
#include "sapphirehook/core/text.hpp"
#include "sapphirehook/dispatch/endpoint_queue.hpp"
#include "sapphirehook/operator/ticket.hpp"
#include "sapphirehook/ownership/layout.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <fstream>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <queue>
#include <random>

namespace {

using namespace sapphirehook;
using Json = nlohmann::json;
using Seconds = std::chrono::duration<double>;

/** Parameters of one simulated run: its arrivals and endpoints. */
struct Scenario
{
  std::string m_name;
  std::size_t m_endpoints = 15;
  std::size_t m_slots = 6;
  double m_seconds = 30;
  /** Offered load before the load peak, as a share of the capacity. */
  double m_load = 0.3;
  /** Factor on the arrival rate during the load peak, which lasts from one
      third to two thirds of the run. */
  double m_peakFactor = 4;
  double m_longShare = 0.01;
  double m_longFactor = 50;
  double m_shortSeconds = 0.005;
  double m_shortDeadline = 0.2;
  double m_longDeadline = 20;
  std::size_t m_daemons = 8;
};

struct Arrival
{
  double m_at = 0;
  double m_work = 0;
  bool m_long = false;
  std::uint64_t m_key = 0;
};

std::vector<Arrival>
MakeArrivals(const Scenario& aScenario, unsigned aSeed)
{
  std::mt19937_64 random(aSeed);
  const double mean =
    aScenario.m_shortSeconds *
    (1 + aScenario.m_longShare * (aScenario.m_longFactor - 1));
  const double capacity =
    static_cast<double>(aScenario.m_endpoints * aScenario.m_slots) / mean;
  std::vector<Arrival> arrivals;
  std::uniform_real_distribution<double> share(0, 1);
  double at = 0;
  while (at < aScenario.m_seconds) {
    const bool inPeak =
      at > aScenario.m_seconds / 3 && at < aScenario.m_seconds * 2 / 3;
    const double rate =
      capacity * aScenario.m_load * (inPeak ? aScenario.m_peakFactor : 1);
    at += std::exponential_distribution<double>(rate)(random);
    Arrival arrival;
    arrival.m_at = at;
    arrival.m_long = share(random) < aScenario.m_longShare;
    std::exponential_distribution<double> work(1 / aScenario.m_shortSeconds);
    arrival.m_work =
      work(random) * (arrival.m_long ? aScenario.m_longFactor : 1);
    arrival.m_key = random();
    arrivals.push_back(arrival);
  }
  return arrivals;
}

/** Result of one arrival. */
struct Outcome
{
  double m_latency = 0;
  bool m_answered = false;
};

struct RunResult
{
  std::vector<Outcome> m_outcomes;
  std::vector<std::uint64_t> m_served;
};

/** The end of a running request; ordered by time. */
struct Completion
{
  double m_at = 0;
  std::size_t m_endpoint = 0;
  std::size_t m_arrival = 0;
  bool operator>(const Completion& aOther) const { return m_at > aOther.m_at; }
};

using Completions =
  std::priority_queue<Completion, std::vector<Completion>, std::greater<>>;

TimePoint
At(double aSeconds)
{
  return TimePoint(
    std::chrono::duration_cast<std::chrono::nanoseconds>(Seconds(aSeconds)) +
    std::chrono::hours(1));
}

double
DeadlineOf(const Scenario& aScenario, const Arrival& aArrival)
{
  return aArrival.m_at + (aArrival.m_long ? aScenario.m_longDeadline
                                          : aScenario.m_shortDeadline);
}

void
Finish(const std::vector<Arrival>& aArrivals,
       const Completion& aEnd,
       RunResult& aRun)
{
  const auto& arrival = aArrivals[aEnd.m_arrival];
  aRun.m_outcomes[aEnd.m_arrival] = { aEnd.m_at - arrival.m_at, true };
  ++aRun.m_served[aEnd.m_endpoint];
}

/** Simulates sapphirehook: each key is sent to its owner through the owner's
    EndpointQueue. */
RunResult
RunQueues(const Scenario& aScenario, const std::vector<Arrival>& aArrivals)
{
  RunResult run;
  run.m_outcomes.resize(aArrivals.size());
  run.m_served.resize(aScenario.m_endpoints);
  QueueConfig config;
  config.m_slots = aScenario.m_slots;
  config.m_longSlots = std::max<std::size_t>(aScenario.m_slots / 3, 1);
  config.m_shortReserve = aScenario.m_slots / 3;
  config.m_maxWaiting = aScenario.m_slots * 256;
  std::vector<EndpointQueue> queues(aScenario.m_endpoints,
                                    EndpointQueue(config));
  Layout layout;
  layout.m_partitions = kDefaultPartitions;
  layout.m_domains.push_back({ "", {} });
  for (std::size_t i = 0; i < aScenario.m_endpoints; ++i) {
    layout.m_domains.front().m_members.push_back({ Concat("e", 10 + i), 1 });
  }
  const Placement placement(layout);
  Completions completions;
  const auto startNext = [&](std::size_t aEndpoint, double aNow) {
    auto& queue = queues[aEndpoint];
    static_cast<void>(queue.Expire(At(aNow)));
    while (const auto next = queue.Next(At(aNow), 0)) {
      const auto arrival = static_cast<std::size_t>(next->m_id);
      completions.push(
        { aNow + aArrivals[arrival].m_work, aEndpoint, arrival });
    }
  };
  const auto finishUntil = [&](double aNow) {
    while (!completions.empty() && completions.top().m_at <= aNow) {
      const auto completion = completions.top();
      completions.pop();
      Finish(aArrivals, completion, run);
      queues[completion.m_endpoint].OnEnded(
        At(completion.m_at),
        completion.m_arrival,
        std::chrono::duration_cast<std::chrono::nanoseconds>(
          Seconds(aArrivals[completion.m_arrival].m_work)));
      startNext(completion.m_endpoint, completion.m_at);
    }
  };
  for (std::size_t i = 0; i < aArrivals.size(); ++i) {
    const auto& arrival = aArrivals[i];
    finishUntil(arrival.m_at);
    const auto* owner = placement.OwnerOfKey(std::to_string(arrival.m_key));
    const auto endpoint = std::strtoull(owner->c_str() + 1, nullptr, 10) - 10;
    static_cast<void>(queues[endpoint].Offer(
      At(arrival.m_at),
      { i, arrival.m_long, At(DeadlineOf(aScenario, arrival)) }));
    startNext(endpoint, arrival.m_at);
  }
  finishUntil(aScenario.m_seconds * 100);
  return run;
}

/** Simulates the baseline: each daemon has its own first-in-first-out queue and
    in-flight limit and sends requests to random endpoints, which queue them in
    the order of arrival. */
RunResult
RunBaseline(const Scenario& aScenario, const std::vector<Arrival>& aArrivals)
{
  RunResult run;
  run.m_outcomes.resize(aArrivals.size());
  run.m_served.resize(aScenario.m_endpoints);
  std::mt19937_64 random(7);
  const auto limit =
    aScenario.m_endpoints * aScenario.m_slots * 2 / aScenario.m_daemons;
  std::vector<std::deque<std::size_t>> daemons(aScenario.m_daemons);
  std::vector<std::size_t> inFlight(aScenario.m_daemons, 0);
  std::vector<std::deque<std::size_t>> waiting(aScenario.m_endpoints);
  std::vector<std::size_t> busy(aScenario.m_endpoints, 0);
  Completions completions;
  const auto start = [&](std::size_t aEndpoint, double aNow) {
    while (busy[aEndpoint] < aScenario.m_slots && !waiting[aEndpoint].empty()) {
      const auto arrival = waiting[aEndpoint].front();
      waiting[aEndpoint].pop_front();
      ++busy[aEndpoint];
      completions.push(
        { aNow + aArrivals[arrival].m_work, aEndpoint, arrival });
    }
  };
  const auto send = [&](std::size_t aDaemon, double aNow) {
    while (inFlight[aDaemon] < limit && !daemons[aDaemon].empty()) {
      const auto arrival = daemons[aDaemon].front();
      daemons[aDaemon].pop_front();
      if (aNow > DeadlineOf(aScenario, aArrivals[arrival])) {
        continue;
      }
      ++inFlight[aDaemon];
      const auto endpoint = random() % aScenario.m_endpoints;
      waiting[endpoint].push_back(arrival);
      start(endpoint, aNow);
    }
  };
  const auto finishUntil = [&](double aNow) {
    while (!completions.empty() && completions.top().m_at <= aNow) {
      const auto completion = completions.top();
      completions.pop();
      Finish(aArrivals, completion, run);
      --busy[completion.m_endpoint];
      const auto daemon = completion.m_arrival % aScenario.m_daemons;
      --inFlight[daemon];
      start(completion.m_endpoint, completion.m_at);
      send(daemon, completion.m_at);
    }
  };
  for (std::size_t i = 0; i < aArrivals.size(); ++i) {
    finishUntil(aArrivals[i].m_at);
    daemons[i % aScenario.m_daemons].push_back(i);
    send(i % aScenario.m_daemons, aArrivals[i].m_at);
  }
  finishUntil(aScenario.m_seconds * 100);
  return run;
}

Json
Report(const Scenario& aScenario,
       const std::vector<Arrival>& aArrivals,
       const RunResult& aRun)
{
  std::vector<double> latencies;
  std::size_t inPeak = 0;
  std::size_t inPeakInTime = 0;
  double peakWork = 0;
  std::vector<std::array<std::size_t, 2>> timeline(
    static_cast<std::size_t>(aScenario.m_seconds * 2) + 2);
  for (std::size_t i = 0; i < aArrivals.size(); ++i) {
    const auto& arrival = aArrivals[i];
    const auto& outcome = aRun.m_outcomes[i];
    const bool atPeak = arrival.m_at > aScenario.m_seconds / 3 &&
                        arrival.m_at < aScenario.m_seconds * 2 / 3;
    const bool inTime =
      outcome.m_answered &&
      arrival.m_at + outcome.m_latency <= DeadlineOf(aScenario, arrival);
    const double completion = arrival.m_at + outcome.m_latency;
    const bool endsInPeak = completion > aScenario.m_seconds / 3 &&
                            completion < aScenario.m_seconds * 2 / 3;
    peakWork += endsInPeak && inTime ? arrival.m_work : 0;
    if (arrival.m_long) {
      continue;
    }
    if (outcome.m_answered) {
      latencies.push_back(outcome.m_latency);
    }
    inPeak += atPeak ? 1 : 0;
    inPeakInTime += atPeak && inTime ? 1 : 0;
    auto& slot = timeline[static_cast<std::size_t>(arrival.m_at * 2)];
    ++slot[0];
    slot[1] += inTime ? 1 : 0;
  }
  std::sort(latencies.begin(), latencies.end());
  const auto at = [&](double aShare) {
    const auto index = static_cast<std::size_t>(
      aShare * static_cast<double>(latencies.size() - 1));
    return latencies.empty() ? 0.0 : latencies[index] * 1000;
  };
  const auto highest =
    *std::max_element(aRun.m_served.begin(), aRun.m_served.end());
  std::uint64_t sum = 0;
  for (const auto served : aRun.m_served) {
    sum += served;
  }
  const double capacity =
    static_cast<double>(aScenario.m_endpoints * aScenario.m_slots) *
    aScenario.m_seconds / 3;
  Json list = Json::array();
  for (std::size_t i = 0; i < timeline.size(); ++i) {
    if (timeline[i][0] > 0) {
      list.push_back({ static_cast<double>(i) / 2,
                       static_cast<double>(timeline[i][1]) /
                         static_cast<double>(timeline[i][0]) });
    }
  }
  return { { "short_in_time_at_crest",
             static_cast<double>(inPeakInTime) / static_cast<double>(inPeak) },
           { "goodput_at_crest", peakWork / capacity },
           { "p50_ms", at(0.5) },
           { "p99_ms", at(0.99) },
           { "p999_ms", at(0.999) },
           { "imbalance",
             static_cast<double>(highest) *
               static_cast<double>(aRun.m_served.size()) /
               static_cast<double>(sum) },
           { "course", list } };
}

Json
Compare(const Scenario& aScenario)
{
  const auto arrivals = MakeArrivals(aScenario, 20261204);
  const auto ours = Report(aScenario, arrivals, RunQueues(aScenario, arrivals));
  const auto baseline =
    Report(aScenario, arrivals, RunBaseline(aScenario, arrivals));
  for (const auto* report : { &ours, &baseline }) {
    auto brief = *report;
    brief.erase("course");
    std::cerr << aScenario.m_name << (report == &ours ? " ours " : " baseline ")
              << brief.dump() << "\n";
  }
  return { { "name", aScenario.m_name },
           { "ours", ours },
           { "baseline", baseline } };
}

} // namespace

int
main(int aCount, char** aArguments)
{
  Json all = Json::array();
  Scenario steady;
  steady.m_name = "lo_xanh_steady_with_long";
  steady.m_peakFactor = 1;
  steady.m_load = 0.6;
  all.push_back(Compare(steady));
  steady.m_name = "lo_xanh_steady_without_long";
  steady.m_longShare = 0;
  // Keeps the rate of short requests of the scenario with long ones.
  steady.m_load = 0.6 / (1 + 0.01 * 49);
  all.push_back(Compare(steady));
  Scenario loadSwing;
  loadSwing.m_name = "lo_xanh_swing";
  all.push_back(Compare(loadSwing));
  Scenario overload;
  overload.m_name = "lo_xanh_overload_2x";
  overload.m_load = 0.5;
  all.push_back(Compare(overload));
  Scenario uploads;
  uploads.m_name = "anps_uploads";
  uploads.m_endpoints = 6;
  uploads.m_load = 0.25;
  uploads.m_longShare = 0.005;
  uploads.m_longFactor = 400;
  uploads.m_longDeadline = 120;
  all.push_back(Compare(uploads));
  const auto text = all.dump(2) + "\n";
  if (aCount > 1) {
    std::ofstream(aArguments[1]) << text;
  } else {
    std::cout << text;
  }
  return 0;
}
