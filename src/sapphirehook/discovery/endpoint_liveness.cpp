#include "sapphirehook/discovery/endpoint_liveness.hpp"

#include <algorithm>

namespace sapphirehook {

namespace {

/** Between two confirmations that are further apart than this, the store may
    have been unavailable. A leader gets one every 0.5 s, or 0.8 s while it
    gathers changes in a large fleet. */
constexpr Millis kMaxConfirmationGap{ 1000 };

bool
IsSameAddress(const sockaddr_in& aLeft, const sockaddr_in& aRight) noexcept
{
  return aLeft.sin_addr.s_addr == aRight.sin_addr.s_addr &&
         aLeft.sin_port == aRight.sin_port;
}

} // namespace

void
EndpointLiveness::OnAlive(const std::string& aName,
                          const sockaddr_in& aAddress,
                          TimePoint aAt)
{
  auto& observation = m_observations[aName];
  if (!IsSameAddress(observation.m_address, aAddress)) {
    observation = { aAddress, aAt };
  }
  observation.m_at = std::max(observation.m_at, aAt);
}

void
EndpointLiveness::OnComplete(TimePoint aAt)
{
  if (aAt <= m_completeAt) {
    return;
  }
  if (aAt > m_completeAt + kMaxConfirmationGap) {
    m_availableSince = std::max(m_availableSince, aAt);
  }
  m_completeAt = aAt;
  if (aAt >= m_availableSince + m_times.m_entryLapse) {
    m_listedAliveAt = aAt - m_times.m_entryLapse;
  }
}

void
EndpointLiveness::OnStoreUnavailable(TimePoint aNow)
{
  m_availableSince = aNow;
}

TimePoint
EndpointLiveness::ReusedFrom(TimePoint aAliveAt) const noexcept
{
  const std::chrono::nanoseconds reuse = m_times.m_addressReuse;
  return aAliveAt + reuse - (WithDrift(reuse, m_times.m_driftPpm) - reuse);
}

bool
EndpointLiveness::LeadsTo(const EndpointIncarnation& aIncarnation,
                          const sockaddr_in& aAddress,
                          TimePoint aConnectedAt) const
{
  const auto found = m_observations.find(aIncarnation.m_name);
  if (found != m_observations.end() &&
      IsSameAddress(found->second.m_address, aAddress) &&
      aConnectedAt <= ReusedFrom(found->second.m_at)) {
    return true;
  }
  const auto* known = m_directory.Find(aIncarnation.m_name);
  return known != nullptr && !known->m_removedAt &&
         known->m_record.m_incarnation == aIncarnation &&
         IsSameAddress(known->m_record.m_address, aAddress) &&
         aConnectedAt <= ReusedFrom(m_listedAliveAt);
}

void
EndpointLiveness::Forget(TimePoint aNow)
{
  std::erase_if(m_observations, [&](const auto& aOne) {
    return ReusedFrom(aOne.second.m_at) < aNow &&
           m_directory.Find(aOne.first) == nullptr;
  });
}

} // namespace sapphirehook
