#ifndef SAPPHIREHOOK_BENCHMARK_FLEET_HPP
#define SAPPHIREHOOK_BENCHMARK_FLEET_HPP

#include "sapphirehook/ownership/coordinator.hpp"

#include <memory>
#include <vector>

namespace benchmark {

/** Size of a fleet whose decision costs are measured. */
struct FleetSize
{
  std::size_t m_daemons = 3;
  std::size_t m_endpoints = 3;
  std::uint32_t m_groups = 4;
  std::uint32_t m_partitions = 1024;
};

/** Work of all daemons over a period of their common clock. */
struct FleetWork
{
  std::uint64_t m_heartbeats = 0;
  std::uint64_t m_heartbeatBytes = 0;
  std::uint64_t m_leaseCalls = 0;
  std::uint64_t m_leaseBytes = 0;
  std::uint64_t m_appends = 0;
  std::uint64_t m_appendBytes = 0;
  /** CPU time of the decision code, in seconds. */
  double m_cpuSeconds = 0;
};

/** Runs the decision cores of many daemons in one thread, with a log and
    endpoints that answer immediately. The fleet measures the cost of the cores;
    no faults are injected. */
class Fleet
{
public:
  explicit Fleet(const FleetSize& aSize);

  /** Runs all cores for a period of their clock and returns their work. */
  FleetWork Run(std::chrono::milliseconds aDuration);

  /** Delivers a ticket to every daemon. */
  void DeliverTicket(const std::string& aTicket);

  [[nodiscard]] sapphirehook::Coordinator& At(std::size_t aIndex)
  {
    return *m_daemons.at(aIndex);
  }

  [[nodiscard]] sapphirehook::TimePoint Now() const noexcept { return m_now; }

  [[nodiscard]] std::size_t Records() const noexcept { return m_log.size(); }

private:
  void Step(FleetWork& aWork);
  void Execute(std::size_t aFrom, const sapphirehook::Action& aAction);

  FleetSize m_size;
  sapphirehook::TimePoint m_now{ std::chrono::seconds(1000) };
  std::vector<std::unique_ptr<sapphirehook::Coordinator>> m_daemons;
  std::map<std::string, std::size_t> m_byAddress;
  std::vector<std::string> m_log;
  std::vector<std::size_t> m_nextRecord;
  std::vector<sapphirehook::Actions> m_actions;
  sapphirehook::Offset m_tickets = 0;
  FleetWork* m_work = nullptr;
};

/** Returns a ticket with one service and the endpoints of a fleet size. */
[[nodiscard]] std::string
MakeTicket(std::uint64_t aNumber, const FleetSize& aSize);

/** Returns the CPU time of this thread, in seconds. */
[[nodiscard]] double
ThreadCpuSeconds() noexcept;

} // namespace benchmark

#endif
