#include "sapphirehook/store/read_schedule.hpp"

#include <algorithm>

namespace sapphirehook {

namespace {

/** Age of the last confirmation at which the first successor reads. It covers
    kConfirmationInterval, the pause that gathers records before the next call,
    and two heartbeats of which one is lost. */
constexpr Millis kFirstSuccessorDelay{ 950 };
/** Additional delay of each further successor. It allows the report of the
    preceding successor to arrive. */
constexpr Millis kSuccessorSpacing{ 100 };
/** Age of the last confirmation at which all daemons read, successors or not.
    Changes have to be in force within 2 s, of which a slow store takes 0.3
    s. */
constexpr Millis kOthersDelay{ 1350 };
/** Minimum time for which a successor follows the store once it has begun. It
    keeps a leader whose confirmations are occasionally late from starting and
    stopping the reader each time. Other daemons stop at once: hundreds of them
    begin at the same time, after a start and after an outage. */
constexpr Millis kMinFollowTime{ 2000 };

Millis
ReadDelay(const ReaderRole& aRole) noexcept
{
  if (!aRole.m_successorIndex) {
    return kOthersDelay;
  }
  return std::min(kFirstSuccessorDelay +
                    kSuccessorSpacing *
                      static_cast<Millis::rep>(*aRole.m_successorIndex),
                  kOthersDelay);
}

} // namespace

void
ReadSchedule::Confirmations::Add(const EndConfirmation& aConfirmation,
                                 StorePosition aHave) noexcept
{
  if (aConfirmation.m_end.m_era < aHave.m_era) {
    return; // the store may have been restored since
  }
  if (aConfirmation.m_end <= aHave) {
    m_completeAt = std::max(m_completeAt, aConfirmation.m_at);
  } else if (aConfirmation.m_end.m_era > m_pending.m_end.m_era ||
             aConfirmation.m_at > m_pending.m_at) {
    m_pending = aConfirmation;
  }
}

void
ReadSchedule::Confirmations::OnRead(StorePosition aHave) noexcept
{
  if (m_pending.m_end.m_era == aHave.m_era && m_pending.m_end <= aHave) {
    m_completeAt = std::max(m_completeAt, m_pending.m_at);
  }
}

void
ReadSchedule::OnOwnConfirmation(const EndConfirmation& aConfirmation) noexcept
{
  m_ownConfirmedAt = std::max(m_ownConfirmedAt, aConfirmation.m_at);
  OnRead(aConfirmation.m_end);
}

void
ReadSchedule::OnPeerConfirmation(const EndConfirmation& aConfirmation,
                                 bool aReadsBefore,
                                 StorePosition aHave) noexcept
{
  m_peers.Add(aConfirmation, aHave);
  if (aReadsBefore) {
    m_precedingReaders.Add(aConfirmation, aHave);
  }
}

void
ReadSchedule::OnRead(StorePosition aHave) noexcept
{
  m_peers.OnRead(aHave);
  m_precedingReaders.OnRead(aHave);
}

TimePoint
ReadSchedule::CompleteAt() const noexcept
{
  return std::max(m_ownConfirmedAt, m_peers.m_completeAt);
}

ReadDecision
ReadSchedule::Next(TimePoint aNow, const ReaderRole& aRole) noexcept
{
  const Millis after = ReadDelay(aRole);
  // A successor only considers the readers that precede it; otherwise two
  // successors would wait for each other.
  const TimePoint confirmedAt = aRole.m_successorIndex
                                  ? m_precedingReaders.m_completeAt
                                  : m_peers.m_completeAt;
  if (m_followsStore) {
    const bool isConfirmed = aNow < confirmedAt + after;
    const bool mayStop =
      !aRole.m_successorIndex || aNow >= m_followingSince + kMinFollowTime;
    m_followsStore = !isConfirmed || !mayStop;
  }
  if (!m_followsStore &&
      aNow >= std::max(confirmedAt, m_ownConfirmedAt) + after) {
    m_followsStore = true;
    m_followingSince = aNow;
  }
  ReadDecision step;
  step.m_followsStore = m_followsStore || aRole.m_leads;
  if (!step.m_followsStore) {
    step.m_nextCheckAt = std::max(confirmedAt, m_ownConfirmedAt) + after;
  }
  return step;
}

} // namespace sapphirehook
