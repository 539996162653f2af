#include "sapphirehook/ownership/endpoint_lease.hpp"

#include <algorithm>

namespace sapphirehook {

EndpointLease::EndpointLease(Term aTerm,
                             LeaseConfig aConfig,
                             TimePoint aLatestExpiry)
  : m_config(aConfig)
  , m_token{ aTerm, 1 }
  , m_latestExpiry(aLatestExpiry)
{
}

std::optional<LeaseCall>
EndpointLease::NextCall(TimePoint aNow)
{
  if (m_inFlight != 0 || aNow < m_nextDue) {
    return std::nullopt;
  }
  if (m_firstCall == TimePoint{}) {
    m_firstCall = aNow;
  }
  LeaseCall call;
  call.m_number = m_nextCall++;
  call.m_sentAt = aNow;
  call.m_token = m_token;
  call.m_boot = m_probeOnly ? std::string() : m_boot;
  call.m_withPartitions = !m_accepted;
  if (!call.m_boot.empty()) {
    call.m_until =
      m_reading + std::chrono::duration_cast<Millis>(m_config.m_lease);
    const auto span = WithDrift(m_config.m_lease, m_config.m_driftPpm);
    m_latestExpiry = std::max(m_latestExpiry, m_readingReceivedAt + span);
  }
  m_inFlight = call.m_number;
  m_nextDue = aNow + m_config.m_renewEvery;
  return call;
}

void
EndpointLease::OnAnswer(TimePoint aNow,
                        const LeaseCall& aCall,
                        const LeaseAnswer& aAnswer)
{
  if (aCall.m_number != m_inFlight) {
    return;
  }
  m_inFlight = 0;
  m_lastAnswerAt = aNow;
  m_lastAnswer = aAnswer;
  if (m_answeringSince == TimePoint{}) {
    m_answeringSince = aNow;
  }
  const bool sameBoot = !m_boot.empty() && aAnswer.m_boot == aCall.m_boot;
  const bool accepted = sameBoot && aAnswer.m_accepted;
  if (accepted) {
    m_acceptedToken = aCall.m_token;
    m_usableUntil = m_readingAskedAt + m_config.m_lease;
  } else {
    m_usableUntil = TimePoint{};
  }
  if (!sameBoot && !m_probeOnly) {
    m_nextDue = aNow;
  }
  m_accepted = accepted && aCall.m_token == m_token;
  m_boot = aAnswer.m_boot;
  m_reading = aAnswer.m_clock;
  m_readingAskedAt = aCall.m_sentAt;
  m_readingReceivedAt = aNow;
}

void
EndpointLease::OnFailure(TimePoint /*aNow*/, const LeaseCall& aCall)
{
  if (aCall.m_number == m_inFlight) {
    m_inFlight = 0;
    m_answeringSince = TimePoint{};
  }
}

void
EndpointLease::ChangeGrant() noexcept
{
  ++m_token.m_sequence;
  m_accepted = false;
  m_nextDue = TimePoint{};
}

void
EndpointLease::SetProbeOnly(bool aProbeOnly) noexcept
{
  if (m_probeOnly && !aProbeOnly) {
    m_nextDue = TimePoint{};
  }
  m_probeOnly = aProbeOnly;
}

bool
EndpointLease::IsSuspect(TimePoint aNow) const noexcept
{
  const auto since = std::max(m_lastAnswerAt, m_firstCall);
  return since != TimePoint{} && aNow - since >= m_config.m_suspectAfter;
}

TimePoint
EndpointLease::UsableUntil() const noexcept
{
  return m_usableUntil;
}

} // namespace sapphirehook
