#include "allocation_count.hpp"
#include "fleet.hpp"

#include "sapphirehook/core/message_pack.hpp"
#include "sapphirehook/core/text.hpp"
#include "sapphirehook/dispatch/endpoint_queue.hpp"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

namespace {

using Json = nlohmann::json;
using benchmark::Fleet;
using benchmark::FleetSize;
using sapphirehook::Concat;

struct Point
{
  double m_x = 0;
  double m_y = 0;
};

/** Fits a least-squares line to points and reports the largest residual as a
    share of the largest value. */
Json
Fit(const std::string& aName,
    const std::string& aUnit,
    const std::string& aPer,
    const std::vector<Point>& aPoints)
{
  double sumX = 0;
  double sumY = 0;
  for (const auto& point : aPoints) {
    sumX += point.m_x;
    sumY += point.m_y;
  }
  const auto count = static_cast<double>(aPoints.size());
  const double meanX = sumX / count;
  const double meanY = sumY / count;
  double covariance = 0;
  double variance = 0;
  for (const auto& point : aPoints) {
    covariance += (point.m_x - meanX) * (point.m_y - meanY);
    variance += (point.m_x - meanX) * (point.m_x - meanX);
  }
  const double slope = variance == 0 ? 0 : covariance / variance;
  const double intercept = meanY - slope * meanX;
  double residual = 0;
  double largest = 0;
  Json list = Json::array();
  for (const auto& point : aPoints) {
    residual =
      std::max(residual, std::abs(point.m_y - intercept - slope * point.m_x));
    largest = std::max(largest, std::abs(point.m_y));
    list.push_back({ point.m_x, point.m_y });
  }
  std::cerr << aName << ": " << intercept << " + " << slope << " " << aUnit
            << " per " << aPer << "\n";
  return { { "name", aName },
           { "unit", aUnit },
           { "per", aPer },
           { "points", list },
           { "slope", slope },
           { "intercept", intercept },
           { "residual_share", largest == 0 ? 0 : residual / largest } };
}

sapphirehook::Heartbeat
MakeHeartbeat(std::size_t aGroups)
{
  sapphirehook::Heartbeat heartbeat;
  heartbeat.m_from = { "entry-0123", 1796366413596000 };
  heartbeat.m_to = { "entry-0456", 1796366413597000 };
  heartbeat.m_sentAtNs = 1796366413596000000;
  heartbeat.m_leaseMs = 750;
  heartbeat.m_nextOffset = 1'000'000;
  for (std::uint32_t i = 0; i < aGroups; ++i) {
    heartbeat.m_requests.push_back({ { "sa-east", i + 200 }, 300, 400, false });
  }
  return heartbeat;
}

Json
HeartbeatBytes()
{
  std::vector<Point> points;
  for (const std::size_t groups : { 0, 1, 2, 4, 8, 16, 32 }) {
    const auto heartbeat = MakeHeartbeat(groups);
    const auto bytes =
      sapphirehook::EncodeMessage(heartbeat).size() +
      sapphirehook::EncodeMessage(
        sapphirehook::HeartbeatAnswer{
          heartbeat.m_to, heartbeat.m_sentAtNs, 1'000'000, false, {} })
        .size();
    points.push_back(
      { static_cast<double>(groups), static_cast<double>(bytes) });
  }
  return Fit("heartbeat_bytes", "B", "group of a pair", points);
}

/** Work of a fleet in steady state, per daemon and second. */
struct SteadyWork
{
  double m_heartbeats = 0;
  double m_heartbeatBytes = 0;
  double m_leaseCalls = 0;
  double m_leaseBytes = 0;
  double m_appends = 0;
  double m_cpuShare = 0;
};

SteadyWork
MeasureSteadyWork(const FleetSize& aSize)
{
  Fleet fleet(aSize);
  fleet.Run(std::chrono::milliseconds(200));
  fleet.DeliverTicket(benchmark::MakeTicket(1, aSize));
  fleet.Run(std::chrono::seconds(20));
  constexpr int kSeconds = 4;
  const auto work = fleet.Run(std::chrono::seconds(kSeconds));
  const double share =
    static_cast<double>(aSize.m_daemons) * static_cast<double>(kSeconds);
  return { static_cast<double>(work.m_heartbeats) / share,
           static_cast<double>(work.m_heartbeatBytes) / share,
           static_cast<double>(work.m_leaseCalls) / share,
           static_cast<double>(work.m_leaseBytes) / share,
           static_cast<double>(work.m_appends),
           work.m_cpuSeconds / share };
}

Json
ByDaemons()
{
  std::vector<Point> heartbeats;
  std::vector<Point> bytes;
  std::vector<Point> cpu;
  Json appends = Json::array();
  for (const std::size_t daemons : { 12, 36, 72, 144 }) {
    const auto steady = MeasureSteadyWork(
      { daemons, daemons * 5, static_cast<std::uint32_t>(daemons * 2), 4096 });
    const auto x = static_cast<double>(daemons);
    heartbeats.push_back({ x, steady.m_heartbeats });
    bytes.push_back({ x, steady.m_heartbeatBytes });
    cpu.push_back({ x, steady.m_cpuShare * 1e6 });
    appends.push_back({ x, steady.m_appends });
  }
  return {
    Fit("heartbeats_by_daemons", "1/s", "daemon of the fleet", heartbeats),
    Fit("heartbeat_bytes_by_daemons", "B/s", "daemon of the fleet", bytes),
    Fit("decision_cpu_by_daemons", "us/s", "daemon of the fleet", cpu),
    { { "name", "settled_appends" }, { "points", appends } }
  };
}

Json
ByGroups()
{
  std::vector<Point> bytes;
  std::vector<Point> cpu;
  for (const std::size_t perDaemon : { 1, 2, 4, 8 }) {
    constexpr std::size_t kDaemons = 24;
    const auto steady =
      MeasureSteadyWork({ kDaemons,
                          kDaemons * 16,
                          static_cast<std::uint32_t>(kDaemons * perDaemon),
                          1024 });
    const auto x = static_cast<double>(perDaemon);
    bytes.push_back({ x, steady.m_heartbeatBytes });
    cpu.push_back({ x, steady.m_cpuShare * 1e6 });
  }
  return { Fit("heartbeat_bytes_by_groups", "B/s", "group led", bytes),
           Fit("decision_cpu_by_groups", "us/s", "group led", cpu) };
}

Json
ByEndpoints()
{
  std::vector<Point> calls;
  std::vector<Point> bytes;
  std::vector<Point> cpu;
  for (const std::size_t perDaemon : { 2, 4, 8, 16 }) {
    constexpr std::size_t kDaemons = 24;
    const auto steady =
      MeasureSteadyWork({ kDaemons, kDaemons * perDaemon, 48, 1024 });
    const auto x = static_cast<double>(perDaemon);
    calls.push_back({ x, steady.m_leaseCalls });
    bytes.push_back({ x, steady.m_leaseBytes });
    cpu.push_back({ x, steady.m_cpuShare * 1e6 });
  }
  return { Fit("lease_calls", "1/s", "endpoint led", calls),
           Fit("lease_body_bytes", "B/s", "endpoint led", bytes),
           Fit("decision_cpu_by_endpoints", "us/s", "endpoint led", cpu) };
}

/** Builds a cluster state by applying records, without running a fleet. */
sapphirehook::ClusterState
MakeState(std::size_t aDaemons,
          std::size_t aEndpoints,
          std::uint32_t aGroups,
          std::uint32_t aPartitions)
{
  using namespace sapphirehook;
  ClusterState state;
  Offset offset = 0;
  std::uint64_t sequence = 0;
  const HostId writer{ "entry-0000", 1 };
  const auto apply = [&](RecordBody aBody) {
    const auto status =
      ApplyRecord(state, offset++, { writer, ++sequence, std::move(aBody) });
    if (!status.ok()) {
      std::cerr << "the state rejected a record: " << status.message() << "\n";
    }
  };
  for (std::size_t i = 0; i < aDaemons; ++i) {
    apply(JoinRecord{ { Concat("entry-", i + 1000), 1796366413596000 },
                      "r1",
                      Concat("z", i % 3),
                      Concat("10.1.", i / 250, ".", i % 250, ":7000") });
  }
  apply(TicketRecord{
    0,
    benchmark::MakeTicket(1, { aDaemons, aEndpoints, aGroups, aPartitions }) });
  std::map<GroupId, std::vector<std::string>> members;
  for (const auto& [name, endpoint] : state.m_endpoints) {
    members[GroupOf(state, name, endpoint.m_config)].push_back(name);
  }
  const HostId leader{ "entry-1000", 1796366413596000 };
  for (const auto& [id, names] : members) {
    apply(ClaimRecord{ id, 0, leader, { leader, leader }, 600 });
    apply(EndpointsUpRecord{ id, 1, names });
    std::vector<LayoutAck> acks;
    for (const auto& name : names) {
      acks.push_back({ name, state.m_lastLayout, {} });
    }
    apply(ReleaseRecord{ id, 1, acks });
  }
  std::vector<LayoutAck> none;
  for (const auto& [id, names] : members) {
    std::vector<LayoutAck> acks;
    for (const auto& name : names) {
      acks.push_back({ name, state.m_lastLayout, {} });
    }
    apply(ReleaseRecord{ id, 1, acks });
  }
  return state;
}

Json
StateMemory()
{
  std::vector<Point> memory;
  std::vector<Point> packed;
  for (const std::size_t endpoints : { 100, 200, 400, 800 }) {
    const auto before = benchmark::LiveBytes();
    const auto state = MakeState(20, endpoints, 32, 64);
    const auto after = benchmark::LiveBytes();
    const auto x = static_cast<double>(endpoints);
    memory.push_back({ x, static_cast<double>(after - before) });
    packed.push_back(
      { x, static_cast<double>(sapphirehook::Pack(state).size()) });
  }
  std::vector<Point> byMembers;
  for (const std::size_t daemons : { 60, 120, 240, 540 }) {
    const auto before = benchmark::LiveBytes();
    const auto state = MakeState(daemons, 10, 4, 64);
    byMembers.push_back(
      { static_cast<double>(daemons),
        static_cast<double>(benchmark::LiveBytes() - before) });
  }
  std::vector<Point> byGroups;
  for (const std::uint32_t groups : { 64U, 128U, 256U, 512U }) {
    const auto before = benchmark::LiveBytes();
    const auto state = MakeState(20, 800, groups, 64);
    byGroups.push_back(
      { static_cast<double>(state.m_groups.size()),
        static_cast<double>(benchmark::LiveBytes() - before) });
  }
  return { Fit("state_bytes_by_endpoints", "B", "endpoint", memory),
           Fit("snapshot_bytes_by_endpoints", "B", "endpoint", packed),
           Fit("state_bytes_by_members", "B", "daemon", byMembers),
           Fit("state_bytes_by_groups", "B", "group", byGroups) };
}

template<typename Work>
double
MicrosecondsOf(std::size_t aRepeats, Work aWork)
{
  double best = 1e18;
  for (int round = 0; round < 5; ++round) {
    const double start = benchmark::ThreadCpuSeconds();
    for (std::size_t i = 0; i < aRepeats; ++i) {
      aWork(i);
    }
    best = std::min(best, benchmark::ThreadCpuSeconds() - start);
  }
  return best * 1e6 / static_cast<double>(aRepeats);
}

sapphirehook::Layout
MakeLayout(std::size_t aEndpoints, std::uint32_t aPartitions)
{
  sapphirehook::Layout layout;
  layout.m_version = 1;
  layout.m_partitions = aPartitions;
  layout.m_domains.push_back({ "", {} });
  for (std::size_t i = 0; i < aEndpoints; ++i) {
    layout.m_domains.front().m_members.push_back({ Concat("endpoint-", i), 1 });
  }
  return layout;
}

Json
PlacementCost()
{
  std::vector<Point> memory;
  std::vector<Point> cpu;
  std::vector<Point> lookup;
  std::vector<Point> update;
  std::vector<Point> pin;
  for (const std::uint32_t partitions : { 4096U, 8192U, 16384U, 32768U }) {
    const auto layout = MakeLayout(100, partitions);
    const auto before = benchmark::LiveBytes();
    const sapphirehook::Placement placement(layout);
    const auto x = static_cast<double>(partitions);
    memory.push_back(
      { x, static_cast<double>(benchmark::LiveBytes() - before) });
    cpu.push_back({ x * 100, MicrosecondsOf(1, [&](std::size_t) {
                      const sapphirehook::Placement again(layout);
                    }) });
    auto fewer = layout;
    fewer.m_domains.front().m_members.erase(
      fewer.m_domains.front().m_members.begin() + 50);
    update.push_back({ x, MicrosecondsOf(2, [&](std::size_t) {
                         const sapphirehook::Placement next(fewer, placement);
                       }) });
    auto pinned = layout;
    pinned.m_pins["hot"] = "endpoint-1";
    pin.push_back({ x, MicrosecondsOf(100, [&](std::size_t) {
                      const sapphirehook::Placement next(pinned, placement);
                    }) });
    std::vector<std::string> keys;
    for (int i = 0; i < 1000; ++i) {
      keys.push_back(Concat("customer-", i));
    }
    std::size_t found = 0;
    lookup.push_back({ x, MicrosecondsOf(100'000, [&](std::size_t aIndex) {
                         found +=
                           placement.OwnerOfKey(keys[aIndex % 1000])->size();
                       }) });
    if (found == 0) {
      std::cerr << "no key has an owner\n";
    }
  }
  return { Fit("placement_bytes", "B", "partition", memory),
           Fit("placement_cpu", "us", "partition and endpoint", cpu),
           Fit("placement_update_cpu", "us", "partition, one loss", update),
           Fit("placement_pin_cpu", "us", "partition, one pin", pin),
           Fit("owner_lookup_cpu", "us", "partition", lookup) };
}

Json
ApplyCost()
{
  using namespace sapphirehook;
  std::vector<Point> record;
  std::vector<Point> ticket;
  std::vector<Point> ticketBytes;
  for (const std::size_t endpoints : { 100, 200, 400, 800 }) {
    const auto x = static_cast<double>(endpoints);
    const auto base = MakeState(20, endpoints, 32, 1024);
    auto state = base;
    std::uint64_t sequence = 1'000'000;
    const Record leave{ { "entry-0000", 1 },
                        0,
                        LeaveRecord{ { "nobody", 1 } } };
    record.push_back({ x, MicrosecondsOf(10'000, [&](std::size_t) {
                         auto next = leave;
                         next.m_sequence = ++sequence;
                         const auto bytes = EncodeRecord(next);
                         const auto decoded = DecodeRecord(bytes);
                         static_cast<void>(
                           ApplyRecord(state, state.m_nextOffset, *decoded));
                       }) });
    std::uint64_t number = 10;
    ticket.push_back(
      { x, MicrosecondsOf(10, [&](std::size_t) {
          const auto text =
            benchmark::MakeTicket(++number, { 20, 1, 32, 1024 });
          static_cast<void>(ApplyRecord(
            state,
            state.m_nextOffset,
            { { "entry-0000", 1 }, ++sequence, TicketRecord{ number, text } }));
        }) });
  }
  return { Fit("fold_record_cpu", "us", "endpoint of the state", record),
           Fit(
             "fold_small_ticket_cpu", "us", "endpoint of the state", ticket) };
}

Json
QueueCost()
{
  using namespace sapphirehook;
  std::vector<Point> cpu;
  for (const std::size_t waiting : { 16, 64, 256, 1024 }) {
    EndpointQueue queue({ 6, 2, 2, 4096, std::chrono::seconds(1), 2 });
    TimePoint now{ std::chrono::seconds(10) };
    std::uint64_t id = 0;
    for (std::size_t i = 0; i < waiting; ++i) {
      static_cast<void>(
        queue.Offer(now, { ++id, false, now + std::chrono::seconds(1000) }));
    }
    cpu.push_back(
      { static_cast<double>(waiting), MicrosecondsOf(20'000, [&](std::size_t) {
          static_cast<void>(queue.Offer(
            now, { ++id, false, now + std::chrono::seconds(1000) }));
          const auto next = queue.Next(now, 0);
          if (next) {
            queue.OnEnded(now, next->m_id, std::chrono::milliseconds(1));
          }
        }) });
  }
  return { Fit("queue_cpu", "us", "waiting request", cpu) };
}

void
Append(Json& aAll, const Json& aResults)
{
  if (aResults.is_object()) {
    aAll.push_back(aResults);
    return;
  }
  for (const auto& item : aResults) {
    aAll.push_back(item);
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  Json all = Json::array();
  Append(all, HeartbeatBytes());
  Append(all, StateMemory());
  Append(all, PlacementCost());
  Append(all, ApplyCost());
  Append(all, QueueCost());
  Append(all, ByEndpoints());
  Append(all, ByGroups());
  Append(all, ByDaemons());
  const auto text = all.dump(2) + "\n";
  if (aCount > 1) {
    std::ofstream(aArguments[1]) << text;
  } else {
    std::cout << text;
  }
  return 0;
}
