#include "sapphirehook/gateway/request_engine.hpp"

#include <algorithm>

// Limits on the requests to cold endpoints and to those of evacuated zones.

namespace sapphirehook {

namespace {

/** Requests for keys at an evacuated zone end this long before the time limit.
    The margin covers the delay until this host learns of the evacuation, and
    that of the last request. */
constexpr Millis kEvacuationMargin{ 800 };

} // namespace

void
RequestEngine::AddHosts(const std::vector<std::string>& aHosts, bool aComplete)
{
  m_hosts.Add(aHosts);
  if (aComplete) {
    m_hosts.SetComplete();
  }
}

void
RequestEngine::UpdateColdStart(TimePoint aNow,
                               const EndpointDirectory& aDirectory,
                               const KnownEndpoint& aKnown,
                               Endpoint& aEndpoint) const
{
  const auto* spec =
    m_routes ? m_routes->Service(aKnown.m_record.m_service) : nullptr;
  const bool hasLimit = spec != nullptr && spec->m_warmUpRate > 0.0;
  aEndpoint.m_warmAt = aKnown.m_warmAt;
  if (hasLimit && aKnown.m_returnedAt != TimePoint{}) {
    aEndpoint.m_warmAt =
      std::max(aKnown.m_warmAt, aKnown.m_returnedAt + spec->m_warmUp);
  }
  aEndpoint.m_coldStart.Update(
    aNow, aEndpoint.m_warmAt, hasLimit ? spec->m_warmUp : Millis(0));
  const auto evacuatedSince = aDirectory.EvacuatedSince(aKnown);
  aEndpoint.m_servesKeysUntil =
    evacuatedSince && aDirectory.IsUsableApartFromZone(aNow, aKnown)
      ? *evacuatedSince + m_settings.m_evacuation - kEvacuationMargin
      : TimePoint{};
}

ColdLimit
RequestEngine::ColdLimitOf(const Endpoint& aEndpoint) const
{
  const auto* spec =
    m_routes ? m_routes->Service(aEndpoint.m_record.m_service) : nullptr;
  return spec == nullptr ? ColdLimit{}
                         : MakeColdLimit(spec->m_warmUpRate,
                                         m_settings.m_warmUpOverrun,
                                         m_settings.m_warmUpSlack);
}

bool
RequestEngine::AdmitsCold(TimePoint aNow,
                          const Transaction& aTransaction,
                          const Endpoint& aEndpoint) const
{
  const auto& coldStart = aEndpoint.m_coldStart;
  return !coldStart.IsLimited(aNow) ||
         coldStart.MaySend(aNow,
                           ColdLimitOf(aEndpoint),
                           m_hosts,
                           aTransaction.m_key.has_value());
}

void
RequestEngine::CountHeldBack(TimePoint aNow, const Transaction& aTransaction)
{
  const auto* holder = aTransaction.m_key ? HolderOf(aTransaction) : nullptr;
  if (holder != nullptr && !AdmitsCold(aNow, aTransaction, *holder)) {
    ++m_metrics.m_coldHeldBack;
  }
}

std::size_t
RequestEngine::ColdEndpoints(TimePoint aNow) const
{
  return static_cast<std::size_t>(std::count_if(
    m_endpoints.begin(), m_endpoints.end(), [&](const auto& aOne) {
      return aOne.second->m_usable && aNow < aOne.second->m_warmAt;
    }));
}

std::size_t
RequestEngine::RangesInZone(const std::string& aZone) const
{
  std::size_t ranges = 0;
  for (const auto& [name, service] : m_services) {
    for (unsigned block = 0; block < kBlocks; ++block) {
      const auto routes = service.m_ranges.Block(block);
      ranges += static_cast<std::size_t>(
        std::count_if(routes.begin(), routes.end(), [&](const auto& aRoute) {
          const auto found = m_endpoints.find(aRoute.m_endpoint);
          return found != m_endpoints.end() &&
                 found->second->m_record.m_zone == aZone;
        }));
    }
  }
  return ranges;
}

} // namespace sapphirehook
