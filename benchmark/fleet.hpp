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

/** Work of all daemons over a span of their common clock. */
struct FleetWork
{
  std::uint64_t m_heartbeats = 0;
  std::uint64_t m_heartbeatBytes = 0;
  std::uint64_t m_leaseCalls = 0;
  std::uint64_t m_leaseBytes = 0;
  std::uint64_t m_appends = 0;
  std::uint64_t m_appendBytes = 0;
  /** Processor seconds of the decision code. */
  double m_cpuSeconds = 0;
};

/** The decision cores of many daemons in one thread, with a log and endpoints
    that answer at once. It measures what the cores cost; nothing fails. */
class Fleet
{
public:
  explicit Fleet(const FleetSize& aSize);

  /** Runs all cores for a span of their clock and returns their work. */
  FleetWork Run(std::chrono::milliseconds aSpan);

  /** Hands a ticket to every daemon. */
  void File(const std::string& aTicket);

  [[nodiscard]] sapphirehook::Coordinator& At(std::size_t aIndex)
  {
    return *m_daemons.at(aIndex);
  }

  [[nodiscard]] sapphirehook::TimePoint Now() const noexcept { return m_now; }

  [[nodiscard]] std::size_t Records() const noexcept { return m_log.size(); }

private:
  void Step(FleetWork& aWork);
  void Do(std::size_t aFrom, const sapphirehook::Action& aAction);

  FleetSize m_size;
  sapphirehook::TimePoint m_now{ std::chrono::seconds(1000) };
  std::vector<std::unique_ptr<sapphirehook::Coordinator>> m_daemons;
  std::map<std::string, std::size_t> m_byAddress;
  std::vector<std::string> m_log;
  std::vector<std::size_t> m_read;
  std::vector<sapphirehook::Actions> m_actions;
  sapphirehook::Offset m_tickets = 0;
  FleetWork* m_work = nullptr;
};

/** Returns a ticket with one service and so many endpoints. */
[[nodiscard]] std::string
MakeTicket(std::uint64_t aNumber, const FleetSize& aSize);

/** Returns the processor seconds that this thread has used. */
[[nodiscard]] double
ThreadCpuSeconds() noexcept;

} // namespace benchmark

#endif
