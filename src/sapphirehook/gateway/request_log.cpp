#include "sapphirehook/gateway/request_engine.hpp"

#include "sapphirehook/gateway/internal/answers.hpp"

#include <cmath>

// Log lines about the ends of requests.

namespace sapphirehook {

void
RequestEngine::RecordEnd(const Transaction& aTransaction,
                         std::string_view aOutcome,
                         int aStatus,
                         LogPriority aPriority)
{
  const auto took = BootClock::now() - aTransaction.m_arrivedAt;
  const auto kind = aTransaction.m_route->m_kind;
  m_metrics.m_requestTimes.at(static_cast<std::size_t>(kind)).Observe(took);
  LogLine line("request-ended");
  line.Add("id", aTransaction.m_attemptId)
    .Add("outcome", aOutcome)
    .Add("status", aStatus)
    .Add("route", aTransaction.m_route->m_name)
    .Add("kind", KindName(kind))
    .Add("config", aTransaction.m_routes->Config().m_version)
    .Add("config_newest", m_routes->Config().m_version)
    .Add("service", aTransaction.m_service)
    .Add("took_ms", took)
    .Add("in_front", aTransaction.m_inFront)
    .Add("sends", aTransaction.m_sends)
    .Add("endpoint", aTransaction.m_sentTo);
  if (aTransaction.m_key) {
    line.Add("key", *aTransaction.m_key);
  }
  if (aStatus == internal::kUnavailable) {
    AddLoadFields(line, aTransaction);
  }
  m_log.Write(line, aPriority);
}

/** Adds the load that explains a refusal: the number of queued requests, and
    the state of the key's holder or of the service's endpoints. */
void
RequestEngine::AddLoadFields(LogLine& aLine, const Transaction& aTransaction)
{
  const TimePoint now = BootClock::now();
  auto& service = ServiceOf(aTransaction.m_service);
  aLine.Add("waiting", service.m_queue.Size());
  if (m_admission.IsDivided(aTransaction.m_service)) {
    const auto figures = m_admission.FiguresOf(aTransaction.m_service,
                                               KindOf(*aTransaction.m_route));
    constexpr double kPercent = 100.0;
    aLine.Add("share_percent", std::lround(figures.m_share * kPercent))
      .Add("demand_slots", std::lround(figures.m_demand))
      .Add("capacity_slots", std::lround(figures.m_slots));
  }
  if (aTransaction.m_key) {
    const auto* route = service.m_ranges.Find(*aTransaction.m_key);
    const auto holder = route != nullptr ? m_endpoints.find(route->m_endpoint)
                                         : m_endpoints.end();
    aLine.Add("granted", route != nullptr && route->m_ready ? 1 : 0);
    if (holder != m_endpoints.end()) {
      const auto& load = holder->second->m_load;
      aLine.Add("holder", route->m_endpoint)
        .Add("holder_usable", holder->second->m_usable ? 1 : 0)
        .Add("holder_running", load.Running(now))
        .Add("holder_limit", load.Limit(now))
        .Add("holder_ejected", load.IsEjected(now) ? 1 : 0);
    }
    return;
  }
  std::size_t usable = 0;
  std::size_t withCapacity = 0;
  for (const auto& [name, endpoint] : m_endpoints) {
    if (endpoint->m_record.m_service == aTransaction.m_service &&
        endpoint->m_usable) {
      ++usable;
      withCapacity += endpoint->m_load.HasCapacity(now) ? 1 : 0;
    }
  }
  aLine.Add("endpoints", usable).Add("endpoints_with_room", withCapacity);
}

} // namespace sapphirehook
