#include "sapphirehook/gateway/request_engine.hpp"

#include "sapphirehook/gateway/internal/service_time.hpp"

#include <algorithm>
#include <set>

// Exchange of the load on endpoints between daemons.

namespace sapphirehook {

using namespace internal;

namespace {

/** Peer name under which the load of all other daemons together is stored. */
constexpr const char* kFleet = "fleet";

/** Number of endpoints that each heartbeat reports in hash order, besides the
    busy ones. At this rate 350 endpoints take 2 s. */
constexpr std::size_t kRotatingReports = 24;

std::uint32_t
WholeMillis(std::chrono::nanoseconds aSpan)
{
  return static_cast<std::uint32_t>(
    std::chrono::duration_cast<Millis>(aSpan).count());
}

} // namespace

void
RequestEngine::OnPeerUse(TimePoint aNow,
                         const std::string& aPeer,
                         const std::vector<EndpointUse>& aUses)
{
  std::map<std::uint32_t, const EndpointUse*> reported;
  for (const auto& use : aUses) {
    reported[use.m_endpoint] = &use;
  }
  for (auto& [name, endpoint] : m_endpoints) {
    const auto found = reported.find(endpoint->m_hash);
    if (found == reported.end()) {
      endpoint->m_load.OnPeer(aNow, aPeer, {});
      continue;
    }
    const auto& use = *found->second;
    endpoint->m_load.OnPeer(
      aNow, aPeer, { use.m_running, use.m_overdue, use.m_waiting });
    endpoint->m_load.OnPeerAnswers(use.m_answers, Millis(use.m_serviceMs));
  }
}

void
RequestEngine::OnFleetUse(TimePoint aNow, const std::vector<FleetUse>& aTotals)
{
  std::map<std::uint32_t, const FleetUse*> reported;
  for (const auto& use : aTotals) {
    reported[use.m_endpoint] = &use;
  }
  for (auto& [name, endpoint] : m_endpoints) {
    auto& load = endpoint->m_load;
    const auto found = reported.find(endpoint->m_hash);
    if (found == reported.end()) {
      load.OnPeer(aNow, kFleet, {});
      continue;
    }
    const auto& use = *found->second;
    const auto own = load.OwnUse(aNow);
    const auto withoutOwn = [](std::size_t aAll, std::size_t aOwn) {
      return aAll > aOwn ? aAll - aOwn : 0;
    };
    load.OnPeer(aNow,
                kFleet,
                { withoutOwn(use.m_running, own.m_running),
                  withoutOwn(use.m_overdue, own.m_overdue),
                  withoutOwn(use.m_waiting, own.m_waiting) });
    load.OnFleetService(Millis(use.m_serviceMs));
  }
}

std::vector<FleetUse>
RequestEngine::FleetUses(TimePoint aNow)
{
  std::map<std::uint32_t, const Endpoint*> byHash;
  for (const auto& [name, endpoint] : m_endpoints) {
    byHash[endpoint->m_hash] = endpoint.get();
  }
  std::set<std::uint32_t> rotating;
  auto next = byHash.upper_bound(m_lastReportedHash);
  while (rotating.size() < std::min(kRotatingReports, byHash.size())) {
    next = next == byHash.end() ? byHash.begin() : next;
    m_lastReportedHash = next->first;
    rotating.insert(next->first);
    ++next;
  }
  std::vector<FleetUse> totals;
  for (const auto& [hash, endpoint] : byHash) {
    const auto& load = endpoint->m_load;
    const auto use = load.AllUse(aNow);
    if (use.m_running * 2 >= load.Slots() || rotating.contains(hash)) {
      totals.push_back({ hash,
                         static_cast<std::uint32_t>(use.m_running),
                         static_cast<std::uint32_t>(use.m_overdue),
                         static_cast<std::uint32_t>(use.m_waiting),
                         WholeMillis(load.ServiceTime()) });
    }
  }
  return totals;
}

std::vector<EndpointUse>
RequestEngine::TakeUses(TimePoint aNow)
{
  std::vector<EndpointUse> uses;
  for (const auto& [name, endpoint] : m_endpoints) {
    const auto use = endpoint->m_load.OwnUse(aNow);
    const auto answers = endpoint->m_load.TakeAnswers();
    if (use.m_running > 0 || use.m_waiting > 0 || answers.m_count > 0) {
      uses.push_back({ endpoint->m_hash,
                       static_cast<std::uint32_t>(use.m_running),
                       static_cast<std::uint32_t>(use.m_overdue),
                       static_cast<std::uint32_t>(use.m_waiting),
                       static_cast<std::uint32_t>(answers.m_count),
                       WholeMillis(answers.m_service) });
    }
  }
  return uses;
}

double
RequestEngine::CapacityOf(const std::string& aEndpoint) const
{
  const auto found = m_endpoints.find(aEndpoint);
  if (found == m_endpoints.end()) {
    return 1.0;
  }
  const auto& endpoint = *found->second;
  std::chrono::duration<double> time = endpoint.m_load.ServiceTime();
  const auto service = m_services.find(endpoint.m_record.m_service);
  if (time.count() <= 0.0 && service != m_services.end()) {
    time = service->second.m_meanServiceTime;
  }
  const double availableShare =
    1.0 - endpoint.m_load.OverdueShare(BootClock::now());
  const double full = availableShare *
                      static_cast<double>(endpoint.m_load.Slots()) /
                      std::max(time.count(), kMinServiceSeconds);
  return endpoint.m_coldStart.Capacity(
    BootClock::now(), ColdLimitOf(endpoint).m_rate, full);
}

} // namespace sapphirehook
