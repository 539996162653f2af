#include "sapphirehook/placement/endpoint_load.hpp"

#include <algorithm>

namespace sapphirehook {

namespace {

/** Requests beyond its slots that an endpoint may have. */
constexpr std::size_t kExtra = 2;
/** A peer's word counts for this long; peers speak several times a second. */
constexpr Millis kPeerWordLasts{ 700 };
/** An endpoint that failed is left out for this long at first, and at most. */
constexpr Millis kFirstEjection{ 200 };
constexpr Millis kLongestEjection{ 3200 };
/** An endpoint that said it is full gets nothing for this long. */
constexpr Millis kFullLasts{ 60 };
/** Weights of the newest observation in running means. */
constexpr double kServiceWeight = 0.04;
constexpr double kFailureWeight = 0.1;

std::chrono::nanoseconds
Scaled(std::chrono::nanoseconds aSpan, double aFactor)
{
  return std::chrono::nanoseconds(static_cast<std::chrono::nanoseconds::rep>(
    static_cast<double>(aSpan.count()) * aFactor));
}

} // namespace

double
EndpointLoad::Turns(std::size_t aRunning) const noexcept
{
  return aRunning < m_slots
           ? 1.0
           : 1.0 + static_cast<double>(aRunning - m_slots + 1) /
                     static_cast<double>(m_slots);
}

double
EndpointLoad::OnSent(TimePoint aNow)
{
  const double turns = Turns(Running(aNow));
  ++m_running;
  return turns;
}

void
EndpointLoad::OnEnd(TimePoint aNow,
                    AttemptEnd aEnd,
                    std::chrono::nanoseconds aTook,
                    double aTurns)
{
  m_running -= m_running > 0 ? 1 : 0;
  if (aEnd == AttemptEnd::Abandoned) {
    return;
  }
  const bool reached = aEnd != AttemptEnd::NotSent && aEnd != AttemptEnd::Lost;
  const bool failed = aEnd == AttemptEnd::Failed || !reached;
  m_failures += kFailureWeight * ((failed ? 1.0 : 0.0) - m_failures);
  if (aEnd == AttemptEnd::NotRun) {
    m_fullUntil = aNow + kFullLasts;
  }
  if (aEnd == AttemptEnd::Answered) {
    m_failuresInRow = 0;
    // The mean of the first answers, then one that follows changes.
    ++m_samples;
    const double weight = std::max(kServiceWeight, 1.0 / m_samples);
    m_service += Scaled(Scaled(aTook, 1.0 / aTurns) - m_service, weight);
  } else if (!reached) {
    const auto ejection = std::min(
      kFirstEjection * (1U << std::min(m_failuresInRow, 4U)), kLongestEjection);
    ++m_failuresInRow;
    m_ejectedUntil = aNow + ejection;
  }
}

void
EndpointLoad::OnPeer(TimePoint aNow,
                     const std::string& aPeer,
                     std::size_t aRunning)
{
  if (aRunning == 0) {
    m_peers.erase(aPeer);
  } else {
    m_peers[aPeer] = { aRunning, aNow };
  }
}

void
EndpointLoad::OnPeerService(std::chrono::nanoseconds aService) noexcept
{
  m_peerService =
    m_peerService == std::chrono::nanoseconds(0)
      ? aService
      : m_peerService + Scaled(aService - m_peerService, kServiceWeight);
}

std::chrono::nanoseconds
EndpointLoad::SharedServiceTime() const noexcept
{
  const auto own = ServiceTime();
  if (m_peerService == std::chrono::nanoseconds(0)) {
    return own;
  }
  return own == std::chrono::nanoseconds(0) ? m_peerService
                                            : (own + m_peerService) / 2;
}

std::size_t
EndpointLoad::Running(TimePoint aNow) const
{
  std::size_t running = m_running;
  for (const auto& [peer, use] : m_peers) {
    running += aNow < use.m_toldAt + kPeerWordLasts ? use.m_running : 0;
  }
  return running;
}

std::size_t
EndpointLoad::Limit(TimePoint aNow) const
{
  return aNow < m_fullUntil ? 0 : m_slots + kExtra;
}

std::chrono::nanoseconds
EndpointLoad::ExpectedFinish(TimePoint aNow,
                             std::chrono::nanoseconds aTypical) const
{
  const auto shared = SharedServiceTime();
  const auto service = shared > std::chrono::nanoseconds(0) ? shared : aTypical;
  const double turns = Turns(Running(aNow));
  constexpr double kFailureCost = 4.0; // a failure costs several services
  return Scaled(service, turns * (1.0 + kFailureCost * m_failures));
}

} // namespace sapphirehook
