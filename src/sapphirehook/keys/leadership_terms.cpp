#include "sapphirehook/keys/leadership.hpp"

#include <algorithm>
#include <utility>

// The part of Leadership that handles terms: claims, their confirmation, eras
// of the store, and the grants of earlier leaders.

namespace sapphirehook {

namespace {

/** A leader that has to claim again after a restore of the store waits this
   long for a daemon that has fallen silent. It is shorter than the authority,
   in which the holders keep their keys. */
constexpr Millis kSilentPeerWait{ 10'000 };

} // namespace

void
Leadership::OnEra(StoreEra aEra) noexcept
{
  if (aEra > m_era) {
    m_sawRestore = m_sawRestore || m_era > 0;
    m_era = aEra;
  }
}

bool
Leadership::KnowsEarlierLeaders(
  const std::optional<LeaderRecord>& aStored) const noexcept
{
  // The store shows every claim that a daemon could hear of, unless it has lost
  // some.
  const bool isLatest = m_term <= (aStored ? aStored->m_term : Term{ 0 });
  if (!isLatest || (!aStored && m_fleetHasRun)) {
    return false;
  }
  return aStored && aStored->m_era ? *aStored->m_era == m_era : !m_sawRestore;
}

bool
Leadership::HasWaitedForLeader(TimePoint aNow) const noexcept
{
  // Some heartbeats may be lost.
  constexpr int kTimeouts = 2;
  return m_vacantSince || aNow >= std::max(m_startedAt, m_leaderHeartbeatAt) +
                                    kTimeouts * m_times.m_heartbeatTimeout;
}

/** Returns an upper bound of the expiry of the recorded leader's grants without
    evidence of its end. Its last grant may be sent when its authority ends. */
TimePoint
Leadership::PredecessorExpiry(TimePoint aNow) const
{
  return m_record.m_leader.m_host == m_self.m_host
           ? OwnHostExpiry(m_record.m_leader)
           : aNow + m_times.m_authority + GrantLifetime();
}

/** Returns an upper bound of the expiry of the grants of this run, or of an
    earlier one on this host, whose commands a cut may still hold up. */
TimePoint
Leadership::OwnHostExpiry(const HostId& aLeader) const
{
  return (aLeader == m_self ? m_idleSince
                            : m_startedAt + m_times.m_longestCut) +
         GrantLifetime();
}

void
Leadership::OnClaimed(TimePoint aNow, const TermClaim& aClaim)
{
  if (m_record.m_term != 0) {
    m_earlier.Add(m_record.m_leader, m_record.m_term, PredecessorExpiry(aNow));
  }
  if (!aClaim.m_knowsEarlier) {
    // Stands for the leaders whose claims were lost. Their authority ends by
    // then, since no confirmation of this era counts for their terms. No leader
    // has the term, so no report lowers the expiry.
    const bool isHandedOver =
      m_latestResignedTerm != 0 && m_latestResignedTerm == m_term;
    m_earlier.Add({},
                  FirstTermOf(m_era) - 1,
                  isHandedOver ? m_resignedGrantsExpiry
                               : aNow + m_times.m_authority + GrantLifetime());
  }
  m_leads = true;
  m_ledSince = aNow;
  m_term = std::max(m_term, aClaim.m_term);
  m_termEra = m_era;
  m_record = { aClaim.m_term, m_self, 0, 0 };
  m_confirmedAt = aClaim.m_sentAt;
  m_resignedAt = {};
}

void
Leadership::OnReclaimed(TimePoint aSentAt, Term aTerm) noexcept
{
  m_term = std::max(m_term, aTerm);
  m_termEra = m_era;
  m_record.m_term = aTerm;
  m_confirmedAt = std::max(m_confirmedAt, aSentAt);
}

void
Leadership::OnTermConfirmed(TimePoint aConfirmedAt, StoreEra aEra) noexcept
{
  if (aEra == m_termEra) {
    m_confirmedAt = std::max(m_confirmedAt, aConfirmedAt);
  }
}

bool
Leadership::HasHeardAllSince(TimePoint aSince, TimePoint aNow) const
{
  return std::all_of(
    m_candidates.begin(), m_candidates.end(), [&](const auto& aOne) {
      const auto& candidate = aOne.second;
      return candidate.m_lastHeartbeatAt == TimePoint{} ||
             candidate.m_lastHeartbeatAt >= aSince || candidate.m_stopping ||
             aNow >= candidate.m_lastHeartbeatAt + kSilentPeerWait;
    });
}

void
Leadership::Yield(TimePoint aNow) noexcept
{
  if (std::exchange(m_leads, false)) {
    m_idleSince = aNow;
  }
}

LeaderRecord
Leadership::RecordFor(TimePoint aNow, Term aTerm, std::uint64_t aSequence) const
{
  LeaderRecord record{ aTerm, m_self, aSequence, 0 };
  record.m_era = m_era;
  record.m_earlier = m_earlier.RemainingLeaders(aNow);
  for (const auto& leader : record.m_earlier) {
    record.m_earlierGrantsMs =
      std::max(record.m_earlierGrantsMs, leader.m_expiresInMs);
  }
  return record;
}

} // namespace sapphirehook
