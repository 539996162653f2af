#include "sapphirehook/discovery/endpoint_directory.hpp"

#include <algorithm>
#include <utility>

namespace sapphirehook {

bool
EndpointDirectory::OnRecord(TimePoint aNow,
                            EndpointRecord aRecord,
                            std::optional<TimePoint> aRestoredUntil)
{
  auto& known = m_endpoints[aRecord.m_incarnation.m_name];
  const auto& before = known.m_record;
  if (before.m_incarnation.m_startedAt > aRecord.m_incarnation.m_startedAt) {
    return false; // a delayed record of an earlier incarnation
  }
  const bool same = before.m_incarnation == aRecord.m_incarnation;
  if (same && known.m_removedAt && aRestoredUntil && aNow < *aRestoredUntil) {
    known.m_confirmedAt = *aRestoredUntil;
    known.m_record.m_draining = before.m_draining || aRecord.m_draining;
    return true;
  }
  const bool changed =
    !same || known.m_removedAt || before.m_draining != aRecord.m_draining ||
    before.m_service != aRecord.m_service || before.m_zone != aRecord.m_zone;
  // An incarnation that has started draining never accepts work again.
  aRecord.m_draining = aRecord.m_draining || (same && before.m_draining);
  // The time left may rise at any time, also for a running endpoint.
  const bool turnsCold =
    aRecord.m_warmUpLeft > Millis(0) && (!same || aNow >= known.m_warmAt);
  if (turnsCold) {
    known.m_coldSince = aNow;
  }
  if (!same) {
    known.m_returnedAt = {};
  }
  known.m_warmAt = aNow + aRecord.m_warmUpLeft;
  known.m_readAt = aNow;
  known.m_removedAt.reset();
  known.m_confirmedAt.reset();
  known.m_record = std::move(aRecord);
  return changed || turnsCold;
}

bool
EndpointDirectory::BeginEvacuation(const std::string& aZone, TimePoint aSince)
{
  return m_evacuations.emplace(aZone, aSince).second;
}

bool
EndpointDirectory::EndEvacuation(TimePoint aNow, const std::string& aZone)
{
  if (m_evacuations.erase(aZone) == 0) {
    return false;
  }
  for (auto& [name, known] : m_endpoints) {
    if (known.m_record.m_zone == aZone) {
      known.m_returnedAt = aNow;
    }
  }
  return true;
}

std::optional<TimePoint>
EndpointDirectory::EvacuatedSince(const KnownEndpoint& aEndpoint) const
{
  const auto found = m_evacuations.find(aEndpoint.m_record.m_zone);
  return found == m_evacuations.end() ? std::nullopt
                                      : std::optional(found->second);
}

void
EndpointDirectory::OnRemoved(TimePoint aNow,
                             const std::string& aName,
                             std::optional<TimePoint> aMayHaveLapsedAt)
{
  const auto found = m_endpoints.find(aName);
  if (found == m_endpoints.end()) {
    return;
  }
  found->second.m_confirmedAt.reset();
  if (found->second.m_removedAt) {
    return;
  }
  auto& known = found->second;
  known.m_removedAt = aNow;
  const bool mayReturn = aMayHaveLapsedAt && !known.m_record.m_draining;
  known.m_removalEffectiveAt =
    mayReturn ? std::max(aNow, *aMayHaveLapsedAt + m_returnGrace) : aNow;
}

void
EndpointDirectory::ConfirmListed(TimePoint aNow)
{
  for (auto& [name, known] : m_endpoints) {
    if (known.m_confirmedAt && aNow >= *known.m_confirmedAt) {
      known.m_confirmedAt.reset();
      known.m_removedAt.reset();
    }
  }
}

void
EndpointDirectory::Forget(TimePoint aNow, Millis aAfter)
{
  std::erase_if(m_endpoints, [&](const auto& aEntry) {
    const auto& known = aEntry.second;
    return known.m_removedAt && !known.m_confirmedAt &&
           known.m_removalEffectiveAt <= aNow - aAfter;
  });
}

bool
EndpointDirectory::IsUsable(TimePoint aNow,
                            const KnownEndpoint& aEndpoint) const
{
  return IsUsableApartFromZone(aNow, aEndpoint) && !EvacuatedSince(aEndpoint);
}

bool
EndpointDirectory::IsUsableApartFromZone(
  TimePoint aNow,
  const KnownEndpoint& aEndpoint) const noexcept
{
  return !aEndpoint.m_record.m_draining &&
         (!aEndpoint.m_removedAt || aNow < aEndpoint.m_removalEffectiveAt);
}

const KnownEndpoint*
EndpointDirectory::Find(const std::string& aName) const
{
  const auto found = m_endpoints.find(aName);
  return found == m_endpoints.end() ? nullptr : &found->second;
}

} // namespace sapphirehook
