#include "support/cluster.hpp"

#include <catch2/catch.hpp>
#include <csignal>
#include <set>

using support::CheckRecords;
using support::Cluster;
using support::ClusterPlan;
using support::LoadResult;
using support::SteadyLoad;

namespace {

constexpr std::size_t kKeys = 40;
constexpr std::size_t kThreads = 6;
constexpr std::size_t kSlots = 6;

void
SleepMs(int aSpan)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aSpan));
}

/** Waits until every endpoint is up and every key is served. */
void
AwaitReady(const Cluster& aCluster, std::size_t aEndpoints)
{
  REQUIRE(Cluster::Await([&] {
    const auto status = aCluster.Page(0, "/status");
    if (!status.is_object() || status.at("endpoints").size() != aEndpoints) {
      return false;
    }
    for (const auto& endpoint : status.at("endpoints")) {
      if (!endpoint.at("up").get<bool>()) {
        return false;
      }
    }
    return true;
  }));
  for (std::size_t i = 0; i < kKeys; ++i) {
    REQUIRE_FALSE(aCluster.AwaitServed(0, "k" + std::to_string(i)).empty());
  }
}

void
CheckNoFaults(const Cluster& aCluster,
              std::size_t aEndpoints,
              const LoadResult& aLoad)
{
  const auto faults = CheckRecords(aCluster, aEndpoints, aLoad);
  for (const auto& fault : faults) {
    UNSCOPED_INFO(fault);
  }
  CHECK(faults.empty());
  CHECK(aLoad.m_answered > 0);
}

/** Returns how many requests an endpoint started while another endpoint ran a
    request of the same key. */
std::size_t
StartedDuringOthers(const Cluster& aCluster,
                    std::size_t aEndpoints,
                    std::size_t aSuspect)
{
  std::size_t count = 0;
  const auto own = aCluster.Records(aSuspect);
  for (std::size_t i = 0; i < aEndpoints; ++i) {
    if (i == aSuspect) {
      continue;
    }
    for (const auto& other : aCluster.Records(i)) {
      const auto start = other.at("start_ms").get<long long>();
      const auto end = other.at("end_ms").get<long long>();
      for (const auto& record : own) {
        const auto began = record.at("start_ms").get<long long>();
        const bool during = began > start && began < end;
        count += during && other.at("key") == record.at("key") ? 1 : 0;
      }
    }
  }
  return count;
}

/** Returns how many requests of an endpoint overlap with a request of the same
    key at another endpoint. */
std::size_t
OverlappingOthers(const Cluster& aCluster,
                  std::size_t aEndpoints,
                  std::size_t aSuspect)
{
  std::set<std::string> overlapping;
  const auto own = aCluster.Records(aSuspect);
  for (std::size_t i = 0; i < aEndpoints; ++i) {
    if (i == aSuspect) {
      continue;
    }
    for (const auto& other : aCluster.Records(i)) {
      for (const auto& record : own) {
        const bool overlaps = other.at("key") == record.at("key") &&
                              other.at("start_ms") < record.at("end_ms") &&
                              record.at("start_ms") < other.at("end_ms");
        if (overlaps) {
          overlapping.insert(record.at("id").get<std::string>());
        }
      }
    }
  }
  return overlapping.size();
}

} // namespace

TEST_CASE("the keys of a killed endpoint are served by other endpoints",
          "[process]")
{
  Cluster cluster({ 3, 3, 2, {}, "" });
  AwaitReady(cluster, 3);
  SteadyLoad load(cluster, { 0, 1, 2 }, kThreads, kKeys);
  SleepMs(500);
  const auto owner = cluster.OwnerOf(0, "k1");
  cluster.KillEndpoint(Cluster::IndexOf(owner));
  CHECK(Cluster::Await([&] {
    const auto now = cluster.OwnerOf(1, "k1");
    return !now.empty() && now != owner;
  }));
  SleepMs(300);
  CheckNoFaults(cluster, 3, load.Stop());
}

TEST_CASE("a frozen endpoint that resumes starts no request of a key that has "
          "moved",
          "[process]")
{
  Cluster cluster({ 3, 3, 2, {}, "" });
  AwaitReady(cluster, 3);
  SteadyLoad load(cluster, { 0, 1, 2 }, kThreads, kKeys);
  SleepMs(500);
  const auto owner = cluster.OwnerOf(0, "k1");
  auto& endpoint = cluster.Endpoint(Cluster::IndexOf(owner));
  endpoint.Signal(SIGSTOP);
  CHECK(Cluster::Await([&] {
    const auto now = cluster.OwnerOf(1, "k1");
    return !now.empty() && now != owner;
  }));
  endpoint.Signal(SIGCONT);
  SleepMs(1500);
  const auto result = load.Stop();
  // The requests that ran at the moment of the freeze, at most one for each
  // slot, end after the endpoint has resumed and overlap with many others. No
  // other fault may occur.
  for (const auto& fault : CheckRecords(cluster, 3, result)) {
    INFO(fault);
    CHECK(fault.find(" ran at ") != std::string::npos);
  }
  CHECK(OverlappingOthers(cluster, 3, Cluster::IndexOf(owner)) <= kSlots);
  CHECK(StartedDuringOthers(cluster, 3, Cluster::IndexOf(owner)) == 0);
  CHECK(result.m_answered > 0);
}

TEST_CASE("a killed dispatcher is replaced", "[process]")
{
  Cluster cluster({ 4, 3, 2, {}, "" });
  AwaitReady(cluster, 3);
  const auto owner = cluster.OwnerOf(0, "k1");
  const auto leader = cluster.LeaderOf(0, owner);
  std::vector<std::size_t> others;
  for (std::size_t i = 0; i < 4; ++i) {
    if (i != leader) {
      others.push_back(i);
    }
  }
  SteadyLoad load(cluster, others, kThreads, kKeys);
  SleepMs(500);
  cluster.StopDaemon(leader);
  CHECK(Cluster::Await([&] {
    return cluster.LeaderOf(others[0], owner) != leader &&
           !cluster.OwnerOf(others[0], "k1").empty();
  }));
  SleepMs(300);
  CheckNoFaults(cluster, 3, load.Stop());
}

TEST_CASE("a frozen dispatcher that resumes sends no requests", "[process]")
{
  Cluster cluster({ 4, 3, 2, {}, "" });
  AwaitReady(cluster, 3);
  const auto owner = cluster.OwnerOf(0, "k1");
  const auto leader = cluster.LeaderOf(0, owner);
  const auto other = (leader + 1) % 4;
  SteadyLoad load(cluster, { other, (leader + 2) % 4 }, kThreads, kKeys);
  SleepMs(500);
  cluster.Daemon(leader).Signal(SIGSTOP);
  CHECK(Cluster::Await([&] {
    return cluster.LeaderOf(other, owner) != leader &&
           !cluster.OwnerOf(other, "k1").empty();
  }));
  cluster.Daemon(leader).Signal(SIGCONT);
  SleepMs(1500);
  CheckNoFaults(cluster, 3, load.Stop());
}

TEST_CASE("a killed standby is replaced without interruption of service",
          "[process]")
{
  Cluster cluster({ 4, 3, 2, {}, "" });
  AwaitReady(cluster, 3);
  const auto owner = cluster.OwnerOf(0, "k1");
  const auto status = cluster.Page(0, "/status");
  const auto group =
    status.at("endpoints").at(owner).at("group").get<std::string>();
  const auto name =
    status.at("groups").at(group).at("standbys").at(0).get<std::string>();
  const auto standby = Cluster::IndexOf(name);
  const auto entry = cluster.LeaderOf(0, owner);
  SteadyLoad load(cluster, { entry }, kThreads, kKeys);
  SleepMs(300);
  cluster.StopDaemon(standby);
  CHECK(Cluster::Await([&] {
    const auto page = cluster.Page(entry, "/status");
    const auto now = page.at("groups").at(group).at("standbys").dump();
    return now.find(name) == std::string::npos;
  }));
  CHECK(Cluster::Await([&] { return !cluster.OwnerOf(entry, "k1").empty(); }));
  CheckNoFaults(cluster, 3, load.Stop());
}

TEST_CASE("no grant lapses while the log is down", "[process]")
{
  Cluster cluster({ 3, 3, 2, {}, "" });
  AwaitReady(cluster, 3);
  SteadyLoad load(cluster, { 0, 1, 2 }, kThreads, kKeys);
  cluster.ControlLog("/faults", { { "down", true } });
  SleepMs(4000);
  for (std::size_t i = 0; i < kKeys; ++i) {
    CHECK_FALSE(cluster.OwnerOf(i % 3, "k" + std::to_string(i)).empty());
  }
  cluster.ControlLog("/faults", { { "down", false } });
  const auto result = load.Stop();
  CheckNoFaults(cluster, 3, result);
  CHECK(result.m_notRun == 0);
  CHECK(result.m_unknown == 0);
}

TEST_CASE("lost append replies have no effect on the outcome", "[process]")
{
  Cluster cluster({ 3, 3, 2, {}, "" });
  AwaitReady(cluster, 3);
  SteadyLoad load(cluster, { 0, 1, 2 }, kThreads, kKeys);
  cluster.ControlLog("/faults", { { "lost_replies", 6 } });
  const auto owner = cluster.OwnerOf(0, "k1");
  cluster.KillEndpoint(Cluster::IndexOf(owner));
  CHECK(Cluster::Await([&] {
    const auto now = cluster.OwnerOf(1, "k1");
    return !now.empty() && now != owner;
  }));
  CheckNoFaults(cluster, 3, load.Stop());
}

TEST_CASE(
  "of two concurrent tickets all daemons accept the same one and keep it",
  "[process]")
{
  Cluster cluster({ 3, 3, 2, {}, "" });
  AwaitReady(cluster, 3);
  auto first = cluster.FirstTicket();
  first["number"] = 7;
  first["services"]["catalogue"]["deadline_ms"] = 1111;
  auto second = first;
  second["services"]["catalogue"]["deadline_ms"] = 2222;
  auto stale = first;
  stale["number"] = 6;
  std::thread left([&] { cluster.File(first); });
  std::thread right([&] { cluster.File(second); });
  left.join();
  right.join();
  cluster.File(stale);
  CHECK(
    Cluster::Await([&] { return cluster.Page(0, "/tickets").size() >= 4; }));
  for (std::size_t i = 0; i < 3; ++i) {
    CHECK(Cluster::Await([&] {
      return cluster.Page(i, "/tickets") == cluster.Page(0, "/tickets");
    }));
    std::size_t accepted = 0;
    for (const auto& ticket : cluster.Page(i, "/tickets")) {
      accepted += ticket.at("accepted").get<bool>() ? 1 : 0;
    }
    CHECK(accepted == 2);
  }
}

TEST_CASE(
  "a daemon that is cut off from the log receives tickets from its peers",
  "[process]")
{
  Cluster cluster({ 3, 3, 2, {}, "" });
  AwaitReady(cluster, 3);
  cluster.ControlLog("/faults", { { "cut", { "h2" } } });
  SleepMs(500);
  auto ticket = cluster.FirstTicket();
  ticket["number"] = 2;
  cluster.File(ticket);
  CHECK(Cluster::Await([&] {
    const auto tickets = cluster.Page(2, "/tickets");
    return tickets.is_array() && tickets.size() == 2;
  }));
  CHECK_FALSE(cluster.OwnerOf(2, "k1").empty());
}

TEST_CASE("a planned stop under load interrupts no request", "[process]")
{
  Cluster cluster({ 3, 3, 20, {}, "stop:\n  leave_balancer_ms: 300\n" });
  AwaitReady(cluster, 3);
  // The stopping daemon dispatches for the others. The load balancer has
  // already moved its callers to other daemons.
  const auto owner = cluster.OwnerOf(0, "k1");
  const auto leader = cluster.LeaderOf(0, owner);
  SteadyLoad load(
    cluster, { (leader + 1) % 3, (leader + 2) % 3 }, kThreads, kKeys);
  SleepMs(500);
  cluster.Daemon(leader).Signal(SIGTERM);
  CHECK(cluster.Daemon(leader).Wait() == 0);
  SleepMs(500);
  const auto result = load.Stop();
  CheckNoFaults(cluster, 3, result);
  CHECK(result.m_notRun == 0);
  CHECK(result.m_unknown == 0);
  CHECK(result.m_transport == 0);
}

TEST_CASE(
  "a draining endpoint receives no new requests and finishes the running "
  "ones",
  "[process]")
{
  Cluster cluster({ 3, 3, 20, {}, "" });
  AwaitReady(cluster, 3);
  SteadyLoad load(cluster, { 0, 1, 2 }, kThreads, kKeys);
  SleepMs(300);
  cluster.ControlEndpoint(0, { { "draining", true } });
  CHECK(Cluster::Await([&] {
    for (std::size_t i = 0; i < kKeys; ++i) {
      if (cluster.OwnerOf(0, "k" + std::to_string(i)) == "e0") {
        return false;
      }
    }
    return true;
  }));
  const auto before = cluster.Records(0).size();
  SleepMs(500);
  CHECK(cluster.Records(0).size() == before);
  const auto result = load.Stop();
  CheckNoFaults(cluster, 3, result);
  CHECK(result.m_unknown == 0);
  CHECK(result.m_notRun == 0);
}

TEST_CASE("truncated and dropped answers are reported correctly to the callers",
          "[process]")
{
  Cluster cluster({ 3, 2, 2, {}, "" });
  AwaitReady(cluster, 2);
  SteadyLoad load(cluster, { 0, 1, 2 }, kThreads, kKeys);
  SleepMs(200);
  cluster.ControlEndpoint(0, { { "drop_answers", true } });
  cluster.ControlEndpoint(1, { { "cut_after", 5 } });
  SleepMs(1000);
  cluster.ControlEndpoint(0, { { "drop_answers", false } });
  cluster.ControlEndpoint(1, { { "cut_after", -1 } });
  SleepMs(200);
  const auto result = load.Stop();
  CheckNoFaults(cluster, 2, result);
  CHECK(result.m_unknown > 0);
  CHECK(result.m_transport > 0);
}

TEST_CASE(
  "endpoints that do not check fencing tokens still have one owner each",
  "[process]")
{
  Cluster cluster({ 4, 3, 2, { "--unchecked" }, "" });
  AwaitReady(cluster, 3);
  const auto owner = cluster.OwnerOf(0, "k1");
  const auto leader = cluster.LeaderOf(0, owner);
  const auto other = (leader + 1) % 4;
  SteadyLoad load(cluster, { other, (leader + 2) % 4 }, kThreads, kKeys);
  SleepMs(500);
  cluster.Daemon(leader).Signal(SIGSTOP);
  CHECK(Cluster::Await([&] {
    return cluster.LeaderOf(other, owner) != leader &&
           !cluster.OwnerOf(other, "k1").empty();
  }));
  cluster.KillEndpoint(Cluster::IndexOf(owner));
  CHECK(Cluster::Await([&] {
    const auto now = cluster.OwnerOf(other, "k1");
    return !now.empty() && now != owner;
  }));
  cluster.Daemon(leader).Signal(SIGCONT);
  SleepMs(1000);
  CheckNoFaults(cluster, 3, load.Stop());
}

TEST_CASE("a daemon starts from a snapshot when the log has been trimmed",
          "[process]")
{
  Cluster cluster({ 4, 3, 2, {}, "timing:\n  snapshot_ms: 500\n", false });
  AwaitReady(cluster, 3);
  const auto snapshotRead = [&] {
    for (const auto& event : cluster.Page(0, "/timeline")) {
      if (event.at("kind") == "snapshot") {
        return true;
      }
    }
    return false;
  };
  REQUIRE(Cluster::Await(snapshotRead));
  cluster.StopDaemon(3);
  long long offset = 0;
  for (const auto& event : cluster.Page(0, "/timeline")) {
    if (event.at("kind") == "snapshot") {
      offset = event.at("offset").get<long long>();
    }
  }
  // The snapshot contains the state before its own record.
  cluster.ControlLog("/trim",
                     { { "stream", "state" }, { "first", offset - 2 } });
  cluster.StartDaemon(3);
  CHECK_FALSE(cluster.AwaitServed(3, "k1").empty());
  CHECK(Cluster::Await([&] {
    return cluster.Page(3, "/tickets") == cluster.Page(0, "/tickets");
  }));
  bool fromSnapshot = false;
  for (const auto& event : cluster.Page(3, "/timeline")) {
    fromSnapshot = fromSnapshot || event.at("kind") == "snapshot-read";
  }
  CHECK(fromSnapshot);
}

TEST_CASE(
  "a daemon obtains its state from peers when it starts while the log is "
  "down",
  "[process]")
{
  Cluster cluster({ 4, 3, 2, {}, "" });
  AwaitReady(cluster, 3);
  cluster.StopDaemon(3);
  cluster.ControlLog("/faults", { { "down", true } });
  cluster.StartDaemon(3);
  CHECK_FALSE(cluster.AwaitServed(3, "k1").empty());
  CHECK(cluster.Page(3, "/status").at("log_readable") == false);
}
