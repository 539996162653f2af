#include "sapphirehook/keys/leadership.hpp"

#include "sapphirehook/core/hash.hpp"

#include <algorithm>
#include <utility>

namespace sapphirehook {

namespace {

/** A candidate counts while it has been heard of within this time. */
constexpr Millis kCandidateFor{ 1000 };
/** Daemons that the leader has not named claim in this many turns. */
constexpr std::uint64_t kUnnamedSpread = 12;
/** A leader that cannot reach the store makes room after this time. */
constexpr Millis kResignAfter{ 2500 };
/** Another daemon reaches the store when it had an answer within this time. */
constexpr Millis kFreshProof{ 1500 };
/** Others must reach the store for this long before a leader makes room. */
constexpr Millis kOthersReachFor{ 1500 };
/** One that has stepped down does not claim again for this long. */
constexpr Millis kRestAfterResigning{ 5000 };

} // namespace

Leadership::Leadership(LeadershipTimes aTimes, HostId aSelf, TimePoint aNow)
  : m_times(aTimes)
  , m_self(std::move(aSelf))
  , m_leaderHeardAt(aNow)
  , m_idleSince(aNow)
{
}

void
Leadership::OnRecord(TimePoint aNow, const LeaderRecord& aRecord)
{
  if (aRecord.m_term < m_record.m_term) {
    return;
  }
  if (aRecord != m_record) {
    // Counted from the reading, which is later than the append.
    m_earlierEnds = aNow + Millis(aRecord.m_earlierGrantsMs);
  }
  m_record = aRecord;
  m_term = std::max(m_term, aRecord.m_term);
  if (m_leads && aRecord.m_leader != m_self) {
    m_leads = false;
    m_idleSince = aNow;
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
  if (m_leads && aLeads && aTerm > m_record.m_term) {
    m_leads = false; // a later leader has claimed
    m_idleSince = aNow;
  }
  m_term = std::max(m_term, aTerm);
  auto& run = m_runs[aFrom.m_host];
  if (aFrom.m_incarnation > run.m_incarnation) {
    run = { aFrom.m_incarnation, aNow };
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
    m_resignedTerm = aTerm;
    m_resignedEnds = aNow + aEnds;
  }
}

/** Place of this daemon among those that may claim: as the last leader named
    them, or else by name among those heard of. */
int
Leadership::Rank(TimePoint aNow) const
{
  if (!m_heirs.empty()) {
    const auto at = std::find(m_heirs.begin(), m_heirs.end(), m_self.m_host);
    const auto place = static_cast<int>(at - m_heirs.begin());
    const bool named = at != m_heirs.end();
    return named ? place
                 : place + static_cast<int>(StableHash(m_self.m_host) %
                                            kUnnamedSpread);
  }
  int rank = 0;
  for (const auto& [host, candidate] : m_candidates) {
    const bool able = candidate.m_storeWorks && !candidate.m_stopping &&
                      aNow < candidate.m_heardAt + kCandidateFor;
    rank += able && host < m_self.m_host ? 1 : 0;
  }
  return rank;
}

void
Leadership::SetStoreWorks(TimePoint aNow, bool aWorks) noexcept
{
  if (aWorks && !m_storeWorks) {
    m_storeSince = aNow;
  }
  m_storeWorks = aWorks;
}

void
Leadership::OnResignationTold(Term aTerm, TimePoint aEnds) noexcept
{
  if (aTerm > m_resignedTerm) {
    m_resignedTerm = aTerm;
    m_resignedEnds = aEnds;
  }
}

bool
Leadership::ShouldClaim(TimePoint aNow) const
{
  if (m_leads || !m_storeWorks ||
      (m_resignedAt != TimePoint{} &&
       aNow < m_resignedAt + kRestAfterResigning)) {
    return false;
  }
  // After an outage all daemons reach the store at once, and take their turns
  // from then on.
  const TimePoint since =
    std::max(m_leaderHeardAt + m_times.m_silence, m_storeSince);
  return aNow >= since + Rank(aNow) * m_times.m_stagger;
}

bool
Leadership::ShouldResign(TimePoint aNow)
{
  const bool othersReach =
    m_leads && aNow >= m_provenAt + kResignAfter &&
    std::any_of(
      m_candidates.begin(), m_candidates.end(), [&](const auto& aOne) {
        const auto& candidate = aOne.second;
        // One whose last answer is older than the trouble may be cut off too.
        return candidate.m_storeWorks && !candidate.m_stopping &&
               aNow < candidate.m_heardAt + kCandidateFor &&
               aNow < candidate.m_storeProvenAt + kFreshProof;
      });
  if (!othersReach) {
    m_othersReachSince = {};
  } else if (m_othersReachSince == TimePoint{}) {
    m_othersReachSince = aNow;
  }
  // At the end of an outage the others may be served a moment earlier.
  return othersReach && aNow >= m_othersReachSince + kOthersReachFor;
}

/** When the grants of the recorded leader have run out. Without a sign that it
    has ended, it may act until its authority ends, and its last grant lasts
    from then on. */
TimePoint
Leadership::PredecessorEnds(TimePoint aNow) const
{
  const auto& leader = m_record.m_leader;
  if (m_record.m_term == 0) {
    return {};
  }
  if (leader.m_host == m_self.m_host) {
    return m_idleSince + HoldEnd(); // this run or an earlier one on this host
  }
  if (m_resignedTerm == m_record.m_term) {
    return m_resignedEnds;
  }
  const auto run = m_runs.find(leader.m_host);
  if (run != m_runs.end() && run->second.m_incarnation > leader.m_incarnation) {
    return run->second.m_seenAt + HoldEnd();
  }
  return aNow + m_times.m_authority + HoldEnd();
}

void
Leadership::OnClaimed(TimePoint aNow, Term aTerm)
{
  m_foreignEnds = std::max(PredecessorEnds(aNow), m_earlierEnds);
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
  m_idleSince = aNow;
  m_resignedAt = aNow;
  m_leaderHeardAt = aNow;
}

std::optional<HostId>
Leadership::Leader(TimePoint aNow) const
{
  if (m_leads) {
    return m_self;
  }
  if (m_leader.m_host.empty() || aNow >= m_leaderHeardAt + m_times.m_silence) {
    return std::nullopt;
  }
  return m_leader;
}

} // namespace sapphirehook
