#include "sapphirehook/keys/leadership.hpp"

#include "sapphirehook/core/hash.hpp"

#include <algorithm>
#include <utility>

namespace sapphirehook {

namespace {

/** A new leader has heard of all candidates after this time. */
constexpr Millis kHearCandidates{ 1000 };
/** A candidate counts while it has been heard of within this time. */
constexpr Millis kCandidateFor{ 1000 };
/** Daemons that the leader has not named claim in this many turns. */
constexpr std::uint64_t kUnnamedSpread = 12;
/** A leader that cannot reach the store makes room after this time. */
constexpr Millis kResignAfter{ 2500 };
/** Another daemon reaches the store when it had an answer within this time. */
constexpr Millis kFreshProof{ 1500 };
/** A leader's own proof counts as recent within this time; it reads once a
    second. */
constexpr Millis kRecentProof{ 1700 };
/** Time from the start in which the daemons that start alike are heard, and how
    many of the first to claim read the stored record then. */
constexpr Millis kFirstBeats{ 200 };
constexpr int kReadingRanks = 3;
/** Time from the start in which all daemons of a large fleet are heard. */
constexpr Millis kHearAll{ 4000 };
/** Others must reach the store for this long before a leader makes room. */
constexpr Millis kOthersReachFor{ 1500 };
/** Runs that began this long before the own one, in milliseconds of the time of
    day, may have claimed since. */
constexpr std::uint64_t kFreshRun = 1500;
/** Daemons that a leader names to claim after it. */
constexpr std::size_t kHeirs = 4;
/** A leader makes room for a daemon with this many times its processor, once
    it has led for a while, so that restarts in turn move it but once. */
constexpr double kMuchLarger = 2.0;
constexpr Millis kLeadsAtLeast{ 4000 };
/** A daemon that did not run hears the leader within this time again. */
constexpr Millis kHearAgain{ 300 };
/** Leaders that replace each other in quick succession do not hear each other,
    or are too busy to speak: after this many within this time each change
    doubles the silence that is waited for, up to a factor. */
constexpr std::size_t kUsualChanges = 2;
constexpr Millis kChangesWithin{ 8000 };
constexpr std::size_t kMostDoublings = 2;
/** A daemon that hears none of the others may be the one that is cut off; it
    waits this long before it claims. A lost leader's grants last longer. */
constexpr Millis kWaitAlone{ 2000 };
/** One that has stepped down does not claim again for this long. */
constexpr Millis kRestAfterResigning{ 5000 };

} // namespace

Leadership::Leadership(LeadershipTimes aTimes,
                       HostId aSelf,
                       double aProcessorShare,
                       TimePoint aNow)
  : m_times(aTimes)
  , m_self(std::move(aSelf))
  , m_processorShare(aProcessorShare)
  , m_leaderHeardAt(aNow)
  , m_startedAt(aNow)
  , m_idleSince(aNow)
  , m_earlier(HoldEnd())
{
}

void
Leadership::OnRecord(TimePoint aNow, const LeaderRecord& aRecord)
{
  m_recordRead = true;
  if (aRecord.m_term < m_record.m_term) {
    return;
  }
  if (aRecord != m_record) {
    m_earlier.AddStored(aNow, aRecord.m_earlier);
    if (aRecord.m_earlier.empty() && aRecord.m_earlierGrantsMs > 0) {
      m_earlier.AddStored(aNow, { { {}, 0, aRecord.m_earlierGrantsMs } });
    }
    for (const auto& leader : aRecord.m_earlier) {
      if (leader.m_leader.m_host == m_self.m_host && !m_leads) {
        // This run or an earlier one here; it is not heard of as others are.
        m_earlier.Add(leader.m_leader, leader.m_term, m_idleSince + HoldEnd());
      }
    }
  }
  const bool isFresh =
    m_term != 0 ||
    aRecord.m_leader.m_incarnation + kFreshRun >= m_self.m_incarnation;
  const bool isNew = aRecord.m_term > m_term;
  if (isNew && m_term != 0) {
    OnLeaderChange(aNow);
  }
  m_record = aRecord;
  m_term = std::max(m_term, aRecord.m_term);
  if (isNew && isFresh && !RecordedRunHasEnded()) {
    // One that has just claimed is given the time to speak.
    m_leader = aRecord.m_leader;
    m_leaderHeardAt = aNow;
    m_vacantSince.reset();
  }
  if (m_leads && aRecord.m_leader != m_self) {
    m_leads = false;
    m_idleSince = aNow;
  }
}

void
Leadership::OnHost(const std::string& aHost, double aProcessorShare)
{
  m_candidates.try_emplace(aHost).first->second.m_processorShare =
    aProcessorShare;
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
    if (aTerm > m_term && m_term != 0) {
      OnLeaderChange(aNow);
    }
    m_leader = aFrom;
    m_leaderHeardAt = aNow;
    m_vacantSince.reset();
  }
  if (m_leads && aLeads && aTerm > m_record.m_term) {
    m_leads = false; // a later leader has claimed
    m_idleSince = aNow;
  }
  m_term = std::max(m_term, aTerm);
  m_earlier.OnBeat(aNow, aFrom, aTerm, aLeads);
}

void
Leadership::OnResigned(TimePoint aNow,
                       const HostId& aFrom,
                       Term aTerm,
                       Millis aEnds)
{
  if (aTerm >= m_term && aFrom != m_self) {
    m_leader = {};
    m_vacantSince = aNow;
    m_resignedTerm = aTerm;
    m_resignedEnds = aNow + aEnds;
    m_earlier.OnTold(aTerm, m_resignedEnds);
  }
}

void
Leadership::OnPause(TimePoint aNow) noexcept
{
  m_leaderHeardAt =
    std::max(m_leaderHeardAt, aNow - Silence(aNow) + kHearAgain);
}

void
Leadership::OnLeaderChange(TimePoint aNow)
{
  m_leaderChanges.push_back(aNow);
  if (m_leaderChanges.size() > kUsualChanges + kMostDoublings) {
    m_leaderChanges.pop_front();
  }
}

/** How long a leader is not heard of before it counts as lost. */
Millis
Leadership::Silence(TimePoint aNow) const
{
  const auto recent = static_cast<std::size_t>(std::count_if(
    m_leaderChanges.begin(), m_leaderChanges.end(), [&](TimePoint aWhen) {
      return aNow < aWhen + kChangesWithin;
    }));
  const auto doublings =
    recent > kUsualChanges ? recent - kUsualChanges : std::size_t{ 0 };
  return m_times.m_silence * (1U << doublings);
}

/** Whether other hosts are known and none is heard of. */
bool
Leadership::IsAlone(TimePoint aNow) const
{
  return !m_candidates.empty() &&
         std::none_of(
           m_candidates.begin(), m_candidates.end(), [&](const auto& aOne) {
             return aNow < aOne.second.m_heardAt + kCandidateFor;
           });
}

/** Since when there has been no leader. */
TimePoint
Leadership::LostSince(TimePoint aNow) const
{
  if (m_vacantSince) {
    return *m_vacantSince;
  }
  if (RecordedRunHasEnded() && m_leader == HostId{}) {
    return m_startedAt; // its silence tells nothing more
  }
  const Millis silence = Silence(aNow);
  return m_leaderHeardAt +
         (IsAlone(aNow) ? std::max(silence, kWaitAlone) : silence);
}

bool
Leadership::CouldLead(TimePoint aNow, const Candidate& aCandidate) const
{
  return aCandidate.m_storeWorks && !aCandidate.m_stopping &&
         aNow < aCandidate.m_heardAt + kCandidateFor;
}

std::vector<std::string>
Leadership::ChooseHeirs(TimePoint aNow) const
{
  std::vector<std::pair<double, std::string>> able;
  for (const auto& [host, candidate] : m_candidates) {
    if (CouldLead(aNow, candidate)) {
      able.emplace_back(-candidate.m_processorShare, host);
    }
  }
  std::sort(able.begin(), able.end());
  std::vector<std::string> heirs;
  for (std::size_t i = 0; i < std::min(able.size(), kHeirs); ++i) {
    heirs.push_back(able[i].second);
  }
  // A new leader has not heard all of them, and keeps those named before.
  for (const auto& host : m_heirs) {
    const bool isNew =
      m_leads && aNow < m_ledSince + kHearCandidates && host != m_self.m_host &&
      heirs.size() < kHeirs &&
      std::find(heirs.begin(), heirs.end(), host) == heirs.end();
    if (isNew) {
      heirs.push_back(host);
    }
  }
  return heirs;
}

std::optional<std::size_t>
Leadership::HeirPlace(const std::string& aHost) const
{
  const auto at = std::find(m_heirs.begin(), m_heirs.end(), aHost);
  return at == m_heirs.end()
           ? std::nullopt
           : std::optional(static_cast<std::size_t>(at - m_heirs.begin()));
}

std::optional<std::size_t>
Leadership::ReadingPlace(TimePoint aNow) const
{
  // A new leader has not heard the others yet, and names none.
  if (!m_heirs.empty() || Leader(aNow)) {
    return HeirPlace(m_self.m_host);
  }
  const auto rank = static_cast<std::size_t>(Rank(aNow));
  return rank < kHeirs ? std::optional(rank) : std::nullopt;
}

/** Place of this daemon among those that may claim: as the last leader named
    them, or else by processor and name among those heard of. */
int
Leadership::Rank(TimePoint aNow) const
{
  if (!m_heirs.empty()) {
    const auto place = HeirPlace(m_self.m_host);
    return static_cast<int>(place ? *place
                                  : m_heirs.size() + StableHash(m_self.m_host) %
                                                       kUnnamedSpread);
  }
  int rank = 0;
  const std::pair own(-m_processorShare, m_self.m_host);
  const bool justStarted = aNow < m_startedAt + kHearAll;
  for (const auto& [host, candidate] : m_candidates) {
    const bool better = std::pair(-candidate.m_processorShare, host) < own;
    // A daemon that has just started has not heard all others yet.
    const bool maybe = justStarted && candidate.m_heardAt == TimePoint{} &&
                       candidate.m_processorShare > m_processorShare;
    rank += better && (maybe || CouldLead(aNow, candidate)) ? 1 : 0;
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
    m_earlier.OnTold(aTerm, aEnds);
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
  const TimePoint since = std::max(LostSince(aNow), m_storeSince);
  return aNow >= since + Rank(aNow) * m_times.m_stagger;
}

bool
Leadership::ShouldRead(TimePoint aNow) const
{
  return !m_recordRead && m_storeWorks && m_leader == HostId{} &&
         aNow >= m_startedAt + kFirstBeats && aNow < m_startedAt + kHearAll &&
         Rank(aNow) < kReadingRanks;
}

/** Whether the daemon that claimed last has ended: another run has started on
    its host. */
bool
Leadership::RecordedRunHasEnded() const
{
  const auto& leader = m_record.m_leader;
  if (m_record.m_term == 0 || m_record.m_term < m_term) {
    return false;
  }
  if (leader.m_host == m_self.m_host) {
    return leader.m_incarnation < m_self.m_incarnation;
  }
  const auto* run = m_earlier.RunOn(leader.m_host);
  return run != nullptr && run->m_incarnation > leader.m_incarnation;
}

/** Whether another daemon has had an answer of the store just now; one whose
    last answer is older than this leader's trouble may be cut off too. */
bool
Leadership::OthersReachStore(TimePoint aNow) const
{
  return std::any_of(
    m_candidates.begin(), m_candidates.end(), [&](const auto& aOne) {
      const auto& candidate = aOne.second;
      return CouldLead(aNow, candidate) &&
             aNow < candidate.m_storeProvenAt + kFreshProof;
    });
}

bool
Leadership::CanHandOver(TimePoint aNow) const
{
  const bool storeWorks = m_storeWorks && aNow < m_provenAt + kRecentProof;
  return OthersReachStore(aNow) ||
         (storeWorks && std::any_of(m_candidates.begin(),
                                    m_candidates.end(),
                                    [&](const auto& aOne) {
                                      return CouldLead(aNow, aOne.second);
                                    }));
}

bool
Leadership::ShouldResign(TimePoint aNow)
{
  const bool othersReach =
    m_leads && aNow >= m_provenAt + kResignAfter && OthersReachStore(aNow);
  if (!othersReach) {
    m_othersReachSince = {};
  } else if (m_othersReachSince == TimePoint{}) {
    m_othersReachSince = aNow;
  }
  // At the end of an outage the others may be served a moment earlier.
  return (othersReach && aNow >= m_othersReachSince + kOthersReachFor) ||
         IsTooSmall(aNow);
}

bool
Leadership::IsTooSmall(TimePoint aNow) const
{
  return m_leads && m_storeWorks && aNow >= m_ledSince + kLeadsAtLeast &&
         std::any_of(
           m_candidates.begin(), m_candidates.end(), [&](const auto& aOne) {
             const auto& [host, candidate] = aOne;
             const auto* run = m_earlier.RunOn(host);
             return candidate.m_processorShare >=
                      m_processorShare * kMuchLarger &&
                    CouldLead(aNow, candidate) && run != nullptr &&
                    aNow >= run->m_seenAt + kLeadsAtLeast;
           });
}

/** When the grants of the recorded leader have run out, unless a sign of its
    end is found: it may act until its authority ends, and its last grant lasts
    from then on. */
TimePoint
Leadership::PredecessorEnds(TimePoint aNow) const
{
  const bool isOwn = m_record.m_leader.m_host == m_self.m_host;
  return isOwn ? m_idleSince + HoldEnd() // this run or an earlier one here
               : aNow + m_times.m_authority + HoldEnd();
}

void
Leadership::OnClaimed(TimePoint aNow, Term aTerm)
{
  if (m_record.m_term != 0) {
    m_earlier.Add(m_record.m_leader, m_record.m_term, PredecessorEnds(aNow));
  }
  m_leads = true;
  m_ledSince = aNow;
  m_term = std::max(m_term, aTerm);
  m_record = { aTerm, m_self, 0, 0 };
  m_provenAt = aNow;
  m_resignedAt = {};
}

LeaderRecord
Leadership::RecordFor(TimePoint aNow, Term aTerm, std::uint64_t aSequence) const
{
  LeaderRecord record{ aTerm, m_self, aSequence, 0 };
  record.m_earlier = m_earlier.Left(aNow);
  for (const auto& leader : record.m_earlier) {
    record.m_earlierGrantsMs =
      std::max(record.m_earlierGrantsMs, leader.m_endsInMs);
  }
  return record;
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
  m_vacantSince.reset();
}

std::optional<HostId>
Leadership::Leader(TimePoint aNow) const
{
  if (m_leads) {
    return m_self;
  }
  if (m_leader.m_host.empty() || aNow >= m_leaderHeardAt + Silence(aNow)) {
    return std::nullopt;
  }
  return m_leader;
}

} // namespace sapphirehook
