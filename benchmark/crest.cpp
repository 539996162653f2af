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

/** Arrivals and endpoints of one run, in virtual time. */
struct Scenario
{
  std::string m_name;
  std::size_t m_endpoints = 15;
  std::size_t m_slots = 6;
  double m_seconds = 30;
  /** Share of the endpoints' capacity that is asked for before the swing. */
  double m_load = 0.3;
  /** Factor of the rate between a third and two thirds of the run. */
  double m_swing = 4;
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
    const bool crest =
      at > aScenario.m_seconds / 3 && at < aScenario.m_seconds * 2 / 3;
    const double rate =
      capacity * aScenario.m_load * (crest ? aScenario.m_swing : 1);
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

/** What became of one arrival. */
struct Outcome
{
  double m_latency = 0;
  bool m_answered = false;
};

struct Run
{
  std::vector<Outcome> m_outcomes;
  std::vector<std::uint64_t> m_served;
};

/** Ends of running work, in the order of their times. */
struct End
{
  double m_at = 0;
  std::size_t m_endpoint = 0;
  std::size_t m_arrival = 0;
  bool operator>(const End& aOther) const { return m_at > aOther.m_at; }
};

using Ends = std::priority_queue<End, std::vector<End>, std::greater<>>;

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
Finish(const std::vector<Arrival>& aArrivals, const End& aEnd, Run& aRun)
{
  const auto& arrival = aArrivals[aEnd.m_arrival];
  aRun.m_outcomes[aEnd.m_arrival] = { aEnd.m_at - arrival.m_at, true };
  ++aRun.m_served[aEnd.m_endpoint];
}

/** Each key at its owner, through the owner's EndpointQueue. */
Run
RunQueues(const Scenario& aScenario, const std::vector<Arrival>& aArrivals)
{
  Run run;
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
  Ends ends;
  const auto pump = [&](std::size_t aEndpoint, double aNow) {
    auto& queue = queues[aEndpoint];
    static_cast<void>(queue.Expire(At(aNow)));
    while (const auto next = queue.Next(At(aNow), 0)) {
      const auto arrival = static_cast<std::size_t>(next->m_id);
      ends.push({ aNow + aArrivals[arrival].m_work, aEndpoint, arrival });
    }
  };
  const auto finishUntil = [&](double aNow) {
    while (!ends.empty() && ends.top().m_at <= aNow) {
      const auto end = ends.top();
      ends.pop();
      Finish(aArrivals, end, run);
      queues[end.m_endpoint].OnEnded(
        At(end.m_at),
        end.m_arrival,
        std::chrono::duration_cast<std::chrono::nanoseconds>(
          Seconds(aArrivals[end.m_arrival].m_work)));
      pump(end.m_endpoint, end.m_at);
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
    pump(endpoint, arrival.m_at);
  }
  finishUntil(aScenario.m_seconds * 100);
  return run;
}

/** The baseline: each daemon has a plain queue and a limit of its own, and
    sends to a random endpoint, which queues in the order of arrival. */
Run
RunBaseline(const Scenario& aScenario, const std::vector<Arrival>& aArrivals)
{
  Run run;
  run.m_outcomes.resize(aArrivals.size());
  run.m_served.resize(aScenario.m_endpoints);
  std::mt19937_64 random(7);
  const auto limit =
    aScenario.m_endpoints * aScenario.m_slots * 2 / aScenario.m_daemons;
  std::vector<std::deque<std::size_t>> daemons(aScenario.m_daemons);
  std::vector<std::size_t> inFlight(aScenario.m_daemons, 0);
  std::vector<std::deque<std::size_t>> waiting(aScenario.m_endpoints);
  std::vector<std::size_t> busy(aScenario.m_endpoints, 0);
  Ends ends;
  const auto start = [&](std::size_t aEndpoint, double aNow) {
    while (busy[aEndpoint] < aScenario.m_slots && !waiting[aEndpoint].empty()) {
      const auto arrival = waiting[aEndpoint].front();
      waiting[aEndpoint].pop_front();
      ++busy[aEndpoint];
      ends.push({ aNow + aArrivals[arrival].m_work, aEndpoint, arrival });
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
    while (!ends.empty() && ends.top().m_at <= aNow) {
      const auto end = ends.top();
      ends.pop();
      Finish(aArrivals, end, run);
      --busy[end.m_endpoint];
      const auto daemon = end.m_arrival % aScenario.m_daemons;
      --inFlight[daemon];
      start(end.m_endpoint, end.m_at);
      send(daemon, end.m_at);
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
       const Run& aRun)
{
  std::vector<double> spans;
  std::size_t crest = 0;
  std::size_t crestInTime = 0;
  double crestWork = 0;
  std::vector<std::array<std::size_t, 2>> course(
    static_cast<std::size_t>(aScenario.m_seconds * 2) + 2);
  for (std::size_t i = 0; i < aArrivals.size(); ++i) {
    const auto& arrival = aArrivals[i];
    const auto& outcome = aRun.m_outcomes[i];
    const bool atCrest = arrival.m_at > aScenario.m_seconds / 3 &&
                         arrival.m_at < aScenario.m_seconds * 2 / 3;
    const bool inTime =
      outcome.m_answered &&
      arrival.m_at + outcome.m_latency <= DeadlineOf(aScenario, arrival);
    const double end = arrival.m_at + outcome.m_latency;
    const bool endsAtCrest =
      end > aScenario.m_seconds / 3 && end < aScenario.m_seconds * 2 / 3;
    crestWork += endsAtCrest && inTime ? arrival.m_work : 0;
    if (arrival.m_long) {
      continue;
    }
    if (outcome.m_answered) {
      spans.push_back(outcome.m_latency);
    }
    crest += atCrest ? 1 : 0;
    crestInTime += atCrest && inTime ? 1 : 0;
    auto& slot = course[static_cast<std::size_t>(arrival.m_at * 2)];
    ++slot[0];
    slot[1] += inTime ? 1 : 0;
  }
  std::sort(spans.begin(), spans.end());
  const auto at = [&](double aShare) {
    const auto place =
      static_cast<std::size_t>(aShare * static_cast<double>(spans.size() - 1));
    return spans.empty() ? 0.0 : spans[place] * 1000;
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
  for (std::size_t i = 0; i < course.size(); ++i) {
    if (course[i][0] > 0) {
      list.push_back({ static_cast<double>(i) / 2,
                       static_cast<double>(course[i][1]) /
                         static_cast<double>(course[i][0]) });
    }
  }
  return { { "short_in_time_at_crest",
             static_cast<double>(crestInTime) / static_cast<double>(crest) },
           { "goodput_at_crest", crestWork / capacity },
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
  steady.m_swing = 1;
  steady.m_load = 0.6;
  all.push_back(Compare(steady));
  steady.m_name = "lo_xanh_steady_without_long";
  steady.m_longShare = 0;
  // The same rate of short requests as with long ones.
  steady.m_load = 0.6 / (1 + 0.01 * 49);
  all.push_back(Compare(steady));
  Scenario swing;
  swing.m_name = "lo_xanh_swing";
  all.push_back(Compare(swing));
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
