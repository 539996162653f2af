#ifndef SAPPHIREHOOK_TEST_SUPPORT_START_REPLAY_HPP
#define SAPPHIREHOOK_TEST_SUPPORT_START_REPLAY_HPP

#include "sapphirehook/keys/initial_ranges.hpp"
#include "sapphirehook/keys/range_planner.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace support {

/** The start of a fleet: endpoints become known in some order and pace, and
    leaders replace each other meanwhile. */
struct FleetStart
{
  std::size_t m_endpoints = 449;
  /** Speeds that are assigned to the endpoints in turn. */
  std::vector<double> m_speeds{ 0.5, 1.0, 1.0, 1.5 };
  /** Time at which each endpoint becomes known. */
  std::vector<sapphirehook::Millis> m_knownAt;
  /** Times at which a leader claims. The earlier one stops at that moment. */
  std::vector<sapphirehook::Millis> m_claims{ sapphirehook::Millis(500) };
  /** For how long each later leader has to presume that grants of its
      predecessors last. */
  sapphirehook::Millis m_earlierGrants{ 19'500 };
  std::size_t m_grantsPerRound = 40;
  /** Requests a second on evenly used keys, from m_trafficAt on. */
  double m_requestsPerSecond = 0.0;
  sapphirehook::Millis m_trafficAt{ 0 };
};

/** Distribution of the keys that are held, i.e. granted, at one moment. */
struct KeySpread
{
  /** Largest number of keys of an endpoint for its speed, divided by the
      mean. */
  double m_busiest = 0.0;
  /** Known endpoints without a key. */
  std::size_t m_without = 0;
  /** Share of all keys that are granted to no endpoint. */
  double m_unserved = 0.0;
  std::size_t m_ranges = 0;
  /** Keys that have changed hands after their first grant, as a share of all
      keys. */
  double m_moved = 0.0;
};

/** Plays the leaders' decisions in virtual time. Endpoints answer each command
    within one step, and the store each append. */
class StartReplay
{
public:
  StartReplay(FleetStart aStart, unsigned aSeed)
    : m_start(std::move(aStart))
    , m_random(aSeed)
  {
  }

  /** Plays until a time, counted from the start. */
  void RunUntil(sapphirehook::Millis aUntil)
  {
    for (; m_now < aUntil; m_now += kStep) {
      Step();
    }
  }

  [[nodiscard]] KeySpread Spread() const
  {
    KeySpread spread;
    if (!m_manager) {
      spread.m_unserved = 1.0;
      return spread;
    }
    std::map<std::string, double> held;
    std::uint32_t served = 0;
    for (const auto& route : m_manager->Routes()) {
      if (route.m_ready) {
        held[route.m_endpoint] += route.m_range.Size();
        served += route.m_range.Size();
      }
      ++spread.m_ranges;
    }
    double speeds = 0.0;
    for (std::size_t i = 0; i < m_start.m_endpoints; ++i) {
      if (m_start.m_knownAt[i] <= m_now) {
        speeds += Speed(i);
        spread.m_without += held.contains(Name(i)) ? 0 : 1;
      }
    }
    const double mean = sapphirehook::kKeyCount / speeds;
    for (std::size_t i = 0; i < m_start.m_endpoints; ++i) {
      const auto found = held.find(Name(i));
      if (found != held.end()) {
        spread.m_busiest =
          std::max(spread.m_busiest, found->second / Speed(i) / mean);
      }
    }
    spread.m_unserved = 1.0 - static_cast<double>(served) /
                                static_cast<double>(sapphirehook::kKeyCount);
    spread.m_moved = static_cast<double>(m_movedKeys) /
                     static_cast<double>(sapphirehook::kKeyCount);
    return spread;
  }

private:
  static constexpr sapphirehook::Millis kStep{ 50 };
  static constexpr sapphirehook::Millis kPlanInterval{ 200 };
  static constexpr double kRequestsPerSpeed = 15.0;

  [[nodiscard]] static std::string Name(std::size_t aIndex)
  {
    return "e" + std::to_string(aIndex);
  }

  [[nodiscard]] double Speed(std::size_t aIndex) const
  {
    return m_start.m_speeds[aIndex % m_start.m_speeds.size()];
  }

  [[nodiscard]] sapphirehook::TimePoint Now() const
  {
    return sapphirehook::TimePoint{} + std::chrono::seconds(100) + m_now;
  }

  [[nodiscard]] std::vector<sapphirehook::RangeManagerEndpoint> Known() const
  {
    std::vector<sapphirehook::RangeManagerEndpoint> known;
    for (std::size_t i = 0; i < m_start.m_endpoints; ++i) {
      if (m_start.m_knownAt[i] <= m_now) {
        sapphirehook::RangeManagerEndpoint endpoint;
        endpoint.m_incarnation = { Name(i), 1 };
        endpoint.m_usable = true;
        endpoint.m_capacity = Speed(i) * kRequestsPerSpeed;
        known.push_back(endpoint);
      }
    }
    return known;
  }

  void BeginTerm(const std::vector<sapphirehook::RangeManagerEndpoint>& aKnown)
  {
    const bool isFirst = m_term == 0;
    ++m_term;
    sapphirehook::RangeManagerTimes times;
    times.m_grantsPerRound = m_start.m_grantsPerRound;
    const auto expiry =
      isFirst ? sapphirehook::TimePoint{} : Now() + m_start.m_earlierGrants;
    m_manager = std::make_unique<sapphirehook::RangeManager>(
      times, (m_term << 22U) + 1, expiry);
    m_planner = std::make_unique<sapphirehook::RangePlanner>(
      sapphirehook::PlannerConfig{});
    for (const auto& [block, assignments] : m_stored) {
      for (const auto& assignment : assignments) {
        m_manager->Load(assignment, Now() + sapphirehook::Millis(1500));
      }
    }
    m_manager->CoverAll(sapphirehook::InitialRanges(aKnown.size()));
    m_grants.clear();
    m_releases.clear();
    m_storing = false;
  }

  void Step()
  {
    const auto known = Known();
    const bool hasSettled = m_window.HasSettled(Now(), known.size());
    if (m_nextClaim < m_start.m_claims.size() &&
        m_now >= m_start.m_claims[m_nextClaim]) {
      ++m_nextClaim;
      m_manager = nullptr;
    }
    if (!m_manager && m_nextClaim > 0 && (hasSettled || !m_stored.empty())) {
      BeginTerm(known);
    }
    if (!m_manager) {
      return;
    }
    m_manager->SetConfirmedAt(Now());
    m_manager->SetEndpoints(known);
    Answer();
    if (m_now.count() % kPlanInterval.count() == 0) {
      Plan(known);
    }
    const auto actions = m_manager->Tick(Now());
    m_grants.insert(
      m_grants.end(), actions.m_grants.begin(), actions.m_grants.end());
    m_releases.insert(
      m_releases.end(), actions.m_releases.begin(), actions.m_releases.end());
    if (!m_storing && m_manager->HasToStore()) {
      for (auto& block : m_manager->BeginStore()) {
        m_stored[block.m_block] = std::move(block.m_assignments);
      }
      m_storing = true;
    }
  }

  void Answer()
  {
    for (const auto& grant : std::exchange(m_grants, {})) {
      for (std::uint32_t key = grant.m_command.m_range.m_first;
           key <= grant.m_command.m_range.m_last;
           ++key) {
        auto& holder = m_holders[static_cast<sapphirehook::Key>(key)];
        m_movedKeys += !holder.empty() && holder != grant.m_endpoint ? 1 : 0;
        holder = grant.m_endpoint;
      }
      m_manager->OnGrantEnd(
        Now(), grant.m_id, { sapphirehook::CommandOutcome::Done, "" });
    }
    for (const auto& release : std::exchange(m_releases, {})) {
      m_manager->OnReleaseEnd(
        Now(), release.m_id, { sapphirehook::CommandOutcome::Done, "h" });
    }
    if (std::exchange(m_storing, false)) {
      m_manager->OnStored(Now());
    }
  }

  void Plan(const std::vector<sapphirehook::RangeManagerEndpoint>& aKnown)
  {
    if (m_now >= m_start.m_trafficAt && m_start.m_requestsPerSecond > 0.0) {
      const std::chrono::duration<double> interval = kPlanInterval;
      const double mean = m_start.m_requestsPerSecond * interval.count();
      std::poisson_distribution<std::uint32_t> count(mean);
      std::map<sapphirehook::Key, std::uint32_t> counts;
      for (auto left = count(m_random); left > 0; --left) {
        ++counts[static_cast<sapphirehook::Key>(m_random() %
                                                sapphirehook::kKeyCount)];
      }
      std::vector<sapphirehook::KeyCount> reported;
      for (const auto& [key, requests] : counts) {
        reported.push_back({ key, requests });
      }
      m_planner->Add(reported);
    }
    m_planner->Advance(Now());
    const auto ranges = m_manager->Ranges();
    std::vector<sapphirehook::PlannerEndpoint> endpoints;
    for (const auto& endpoint : aKnown) {
      endpoints.push_back(
        { endpoint.m_incarnation.m_name, endpoint.m_capacity });
    }
    for (const auto& move : m_planner->Plan(ranges, endpoints)) {
      m_manager->Move(Now(), move.m_range, move.m_to);
    }
  }

  FleetStart m_start;
  std::mt19937 m_random;
  sapphirehook::Millis m_now{ 0 };
  std::size_t m_nextClaim = 0;
  sapphirehook::ArrivalWindow m_window;
  std::uint64_t m_term = 0;
  std::unique_ptr<sapphirehook::RangeManager> m_manager;
  std::unique_ptr<sapphirehook::RangePlanner> m_planner;
  std::vector<sapphirehook::EndpointGrant> m_grants;
  std::vector<sapphirehook::EndpointRelease> m_releases;
  bool m_storing = false;
  std::map<unsigned, std::vector<sapphirehook::RangeAssignment>> m_stored;
  std::map<sapphirehook::Key, std::string> m_holders;
  std::size_t m_movedKeys = 0;
};

} // namespace support

#endif
