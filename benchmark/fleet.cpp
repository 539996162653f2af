#include "fleet.hpp"

#include "sapphirehook/core/text.hpp"
#include "sapphirehook/endpoint/grant.hpp"

#include <ctime>
#include <nlohmann/json.hpp>

namespace benchmark {

using sapphirehook::Concat;

namespace {

constexpr std::chrono::milliseconds kTick{ 20 };
constexpr std::size_t kZones = 3;

} // namespace

double
ThreadCpuSeconds() noexcept
{
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  constexpr double kNanosecond = 1e-9;
  return static_cast<double>(used.tv_sec) +
         static_cast<double>(used.tv_nsec) * kNanosecond;
}

std::string
MakeTicket(std::uint64_t aNumber, const FleetSize& aSize)
{
  nlohmann::json endpoints = nlohmann::json::object();
  for (std::size_t i = 0; i < aSize.m_endpoints; ++i) {
    endpoints[Concat("endpoint-", i)] = {
      { "service", "catalogue" },
      { "address", Concat("10.0.", i / 250, ".", i % 250 + 1, ":80") },
      { "region", "r1" },
      { "zone", Concat("z", i % kZones) }
    };
  }
  return nlohmann::json{
    { "number", aNumber },
    { "groups", aSize.m_groups },
    { "services",
      { { "catalogue",
          { { "prefix", "/catalogue/" },
            { "partitions", aSize.m_partitions },
            { "key", { { "header", "X-Key" } } } } } } },
    { "endpoints", endpoints }
  }.dump();
}

Fleet::Fleet(const FleetSize& aSize)
  : m_size(aSize)
  , m_nextRecord(aSize.m_daemons, 0)
  , m_actions(aSize.m_daemons)
{
  for (std::size_t i = 0; i < aSize.m_daemons; ++i) {
    sapphirehook::NodeConfig config;
    config.m_self = { Concat("host-", i), 1 };
    config.m_region = "r1";
    config.m_zone = Concat("z", i % kZones);
    config.m_peerAddress = Concat("10.1.", i / 250, ".", i % 250 + 1, ":70");
    m_byAddress[config.m_peerAddress] = i;
    m_daemons.push_back(
      std::make_unique<sapphirehook::Coordinator>(std::move(config)));
  }
}

void
Fleet::DeliverTicket(const std::string& aTicket)
{
  for (auto& daemon : m_daemons) {
    daemon->OnTicket(m_now, m_tickets, aTicket);
  }
  ++m_tickets;
}

void
Fleet::Execute(std::size_t aFrom, const sapphirehook::Action& aAction)
{
  using namespace sapphirehook;
  if (const auto* append = std::get_if<AppendAction>(&aAction)) {
    m_log.push_back(append->m_bytes);
    ++m_work->m_appends;
    m_work->m_appendBytes += append->m_bytes.size();
  } else if (const auto* heartbeat = std::get_if<HeartbeatAction>(&aAction)) {
    const auto question = EncodeMessage(heartbeat->m_message);
    const auto to = m_byAddress.at(heartbeat->m_address);
    const auto answer = m_daemons[to]->OnHeartbeat(m_now, heartbeat->m_message);
    ++m_work->m_heartbeats;
    m_work->m_heartbeatBytes += question.size();
    if (answer) {
      m_work->m_heartbeatBytes += EncodeMessage(*answer).size();
      m_daemons[aFrom]->OnHeartbeatAnswer(m_now, heartbeat->m_address, *answer);
    }
  } else if (const auto* lease = std::get_if<LeaseCallAction>(&aAction)) {
    ++m_work->m_leaseCalls;
    m_work->m_leaseBytes += EncodeLeaseCall(*lease).size();
    m_daemons[aFrom]->OnLeaseAnswer(
      m_now,
      lease->m_endpoint,
      lease->m_call,
      { "boot", SinceBoot(m_now), !lease->m_call.m_boot.empty(), false, {} });
  }
}

void
Fleet::Step(FleetWork& aWork)
{
  m_work = &aWork;
  m_now += kTick;
  const double start = ThreadCpuSeconds();
  for (std::size_t i = 0; i < m_daemons.size(); ++i) {
    auto& daemon = *m_daemons[i];
    for (; m_nextRecord[i] < m_log.size(); ++m_nextRecord[i]) {
      daemon.OnRecord(m_now, m_nextRecord[i], m_log[m_nextRecord[i]]);
    }
    daemon.OnLogStatus(m_now, true);
    daemon.OnTick(m_now);
    m_actions[i] = daemon.TakeActions();
  }
  for (std::size_t i = 0; i < m_daemons.size(); ++i) {
    for (const auto& action : m_actions[i]) {
      Execute(i, action);
    }
  }
  aWork.m_cpuSeconds += ThreadCpuSeconds() - start;
}

FleetWork
Fleet::Run(std::chrono::milliseconds aDuration)
{
  FleetWork work;
  const auto end = m_now + aDuration;
  while (m_now < end) {
    Step(work);
  }
  return work;
}

} // namespace benchmark
