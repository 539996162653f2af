#include "sapphirehook/store/outage_watch.hpp"

#include <algorithm>

namespace sapphirehook {

namespace {

/** Entries that lapsed during an outage, or that the store lost in a restore,
    are written again within about 2 s of its end if their writers are alive. */
constexpr Millis kLapseWindow{ 2500 };

} // namespace

void
OutageWatch::OnServed(TimePoint aAt) noexcept
{
  m_servedAt = std::max(m_servedAt, aAt);
  if (!m_outageSince || aAt <= *m_outageSince) {
    return;
  }
  if (aAt >= *m_outageSince + m_shortestLapse) {
    m_longOutageEnded = aAt;
  }
  m_outageSince.reset();
}

void
OutageWatch::OnRefused(TimePoint aNow) noexcept
{
  if (!m_outageSince) {
    m_outageSince = aNow;
  }
}

void
OutageWatch::OnTimeout(TimePoint aNow) noexcept
{
  if (!m_outageSince) {
    m_outageSince = m_servedAt == TimePoint{} ? aNow : m_servedAt;
  }
}

bool
OutageWatch::MayHaveLapsed(TimePoint aNow) const noexcept
{
  const bool isLong = m_outageSince && aNow >= *m_outageSince + m_shortestLapse;
  return isLong ||
         (m_longOutageEnded && aNow < *m_longOutageEnded + kLapseWindow) ||
         (m_restoredAt && aNow < *m_restoredAt + kLapseWindow);
}

TimePoint
OutageWatch::EndedAt(TimePoint aNow) const noexcept
{
  const bool isLong = m_outageSince && aNow >= *m_outageSince + m_shortestLapse;
  if (!isLong && m_restoredAt && aNow < *m_restoredAt + kLapseWindow) {
    return m_longOutageEnded ? std::max(*m_restoredAt, *m_longOutageEnded)
                             : *m_restoredAt;
  }
  return m_outageSince ? aNow : m_longOutageEnded.value_or(aNow);
}

} // namespace sapphirehook
