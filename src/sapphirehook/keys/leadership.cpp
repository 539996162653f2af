#include "sapphirehook/keys/leadership.hpp"

#include <algorithm>
#include <utility>

namespace sapphirehook {

namespace {

/** A candidate counts while it has been heard of within this time. */
constexpr Millis kCandidateFor{ 1000 };
/** A leader that cannot reach the store makes room after this time. */
constexpr Millis kResignAfter{ 2500 };
/** One that has stepped down does not claim again for this long. */
constexpr Millis kRestAfterResigning{ 5000 };

} // namespace

Leadership::Leadership(LeadershipTimes aTimes, HostId aSelf, TimePoint aNow)
  : m_times(aTimes)
  , m_self(std::move(aSelf))
  , m_leaderHeardAt(aNow)
{
}

void
Leadership::OnRecord(TimePoint aNow, const LeaderRecord& aRecord)
{
  if (aRecord.m_term < m_record.m_term) {
    return;
  }
  if (aRecord.m_leader != m_record.m_leader) {
    m_predecessorEnds.reset();
  }
  if (aRecord != m_record) {
    // Counted from the reading, which is later than the append.
    m_earlierEnds = aNow + Millis(aRecord.m_earlierGrantsMs);
  }
  m_record = aRecord;
  m_term = std::max(m_term, aRecord.m_term);
  if (m_leads && aRecord.m_leader != m_self) {
    m_leads = false;
  }
}

void
Leadership::OnBeat(TimePoint aNow,
                   const HostId& aFrom,
                   Term aTerm,
                   bool aLeads,
                   const Candidate& aCandidate)
{
  m_candidates[aFrom.m_host] = aCandidate;
  m_candidates[aFrom.m_host].m_heardAt = aNow;
  if (aLeads && aTerm >= m_term) {
    m_leader = aFrom;
    m_leaderHeardAt = aNow;
  }
  m_term = std::max(m_term, aTerm);
  const auto& recorded = m_record.m_leader;
  if (aFrom.m_host == recorded.m_host &&
      aFrom.m_incarnation > recorded.m_incarnation && !m_predecessorEnds) {
    // The recorded leader's process has ended: another runs on its host.
    m_predecessorEnds = aNow + HoldEnd();
  }
}

void
Leadership::OnResigned(TimePoint aNow,
                       const HostId& aFrom,
                       Term aTerm,
                       Millis aEnds)
{
  if (aTerm >= m_term && aFrom != m_self) {
    m_leader = {};
    m_leaderHeardAt = aNow - m_times.m_silence;
    m_predecessorEnds = aNow + aEnds;
  }
}

bool
Leadership::ShouldClaim(TimePoint aNow, bool aStoreWorks) const
{
  if (m_leads || !aStoreWorks ||
      (m_resignedAt != TimePoint{} &&
       aNow < m_resignedAt + kRestAfterResigning)) {
    return false;
  }
  int rank = 0;
  for (const auto& [host, candidate] : m_candidates) {
    const bool able = candidate.m_storeWorks && !candidate.m_stopping &&
                      aNow < candidate.m_heardAt + kCandidateFor;
    rank += able && host < m_self.m_host ? 1 : 0;
  }
  return aNow >= m_leaderHeardAt + m_times.m_silence + rank * m_times.m_stagger;
}

bool
Leadership::ShouldResign(TimePoint aNow) const
{
  if (!m_leads || aNow < m_provenAt + kResignAfter) {
    return false;
  }
  return std::any_of(
    m_candidates.begin(), m_candidates.end(), [&](const auto& aOne) {
      const auto& candidate = aOne.second;
      return candidate.m_storeWorks && !candidate.m_stopping &&
             aNow < candidate.m_heardAt + kCandidateFor;
    });
}

void
Leadership::OnClaimed(TimePoint aNow, Term aTerm)
{
  // Without a sign that the one before has ended, it may act until its
  // authority ends, and its last grant lasts from then on.
  TimePoint predecessorEnds{};
  if (m_record.m_leader.m_host == m_self.m_host) {
    predecessorEnds = aNow + HoldEnd(); // an earlier run on this host
  } else if (m_record.m_term != 0) {
    predecessorEnds = m_predecessorEnds.value_or(
      aNow + m_times.m_authority + HoldEnd());
  }
  m_foreignEnds = std::max(predecessorEnds, m_earlierEnds);
  m_predecessorEnds.reset();
  m_leads = true;
  m_term = std::max(m_term, aTerm);
  m_record = { aTerm, m_self, 0, 0 };
  m_provenAt = aNow;
  m_resignedAt = {};
}

void
Leadership::OnProof(TimePoint aProvenAt) noexcept
{
  m_provenAt = std::max(m_provenAt, aProvenAt);
}

void
Leadership::Resign(TimePoint aNow) noexcept
{
  m_leads = false;
  m_resignedAt = aNow;
  m_leaderHeardAt = aNow;
}

std::optional<HostId>
Leadership::Leader(TimePoint aNow) const
{
  if (m_leads) {
    return m_self;
  }
  if (m_leader.m_host.empty() ||
      aNow >= m_leaderHeardAt + m_times.m_silence) {
    return std::nullopt;
  }
  return m_leader;
}

} // namespace sapphirehook
