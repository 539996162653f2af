#include "sapphirehook/keys/leadership.hpp"

#include "sapphirehook/core/hash.hpp"

#include <algorithm>
#include <utility>

namespace sapphirehook {

namespace {

/** A new leader has received heartbeats from all candidates after this time. */
constexpr Millis kCandidateDiscovery{ 1000 };
/** Age from which a candidate's last heartbeat does not count. */
constexpr Millis kCandidateTimeout{ 1000 };
/** Daemons that the leader has not named as successors claim in this many
    turns, after the successors. */
constexpr std::uint64_t kUnlistedTurns = 12;
/** A leader that cannot reach the store resigns after this time. */
constexpr Millis kResignAfter{ 2500 };
/** Another daemon counts as reaching the store if the store answered it within
    this time. */
constexpr Millis kPeerStoreAnswerMaxAge{ 1500 };
/** A leader's own confirmation counts as recent for this long. The leader reads
    the store once a second. */
constexpr Millis kOwnConfirmationMaxAge{ 1700 };
/** Time from the start in which heartbeats arrive from the daemons that start
    at the same time. */
constexpr Millis kFirstHeartbeats{ 200 };
/** Number of daemons, the first in the order of claims, that read the stored
    record after that time. */
constexpr int kRecordReaders = 3;
/** Time from the start in which all daemons of a large fleet are heard. */
constexpr Millis kFleetDiscovery{ 4000 };
/** A leader resigns only after other daemons have reached the store for this
    long. */
constexpr Millis kOthersReachStoreFor{ 1500 };
/** A run that began at most this long before the own one, by the clocks of both
    hosts, may have claimed since then. */
constexpr Millis kRecentRun{ 1500 };
/** Largest number of successors that a leader names. */
constexpr std::size_t kMaxSuccessors = 4;
/** A leader resigns in favour of a daemon with at least this many times its
    processor share, once both have run for the minimum time: the leader as
    leader, the other daemon since its start. Rolling restarts thus move
    leadership only once. */
constexpr double kMinProcessorRatio = 2.0;
constexpr Millis kMinTimeAsLeader{ 4000 };
/** Longest time from a daemon's last heartbeat to the beginning of a pause. */
constexpr Millis kHeartbeatInterval{ 200 };
/** A daemon that was paused receives the leader's next heartbeat within this
    time. */
constexpr Millis kHeartbeatWaitAfterPause{ 300 };
/** Leaders that replace each other in quick succession do not receive each
    other's heartbeats, or are too busy to send them. After this many leader
    changes within the window, each further change doubles the heartbeat
    timeout, up to the maximum number of doublings. */
constexpr std::size_t kUsualLeaderChanges = 2;
constexpr Millis kLeaderChangeWindow{ 8000 };
constexpr std::size_t kMaxTimeoutDoublings = 2;
/** A daemon that receives no heartbeats may itself be cut off, so it waits at
    least this long. It costs little: a lost leader's grants last longer. */
constexpr Millis kIsolatedTimeout{ 2000 };
/** A leader that has resigned does not claim again for this long. */
constexpr Millis kClaimPauseAfterResigning{ 5000 };

} // namespace

Leadership::Leadership(LeadershipTimes aTimes,
                       HostId aSelf,
                       double aProcessorShare,
                       TimePoint aNow)
  : m_times(aTimes)
  , m_self(std::move(aSelf))
  , m_processorShare(aProcessorShare)
  , m_leaderHeartbeatAt(aNow)
  , m_startedAt(aNow)
  , m_idleSince(aNow)
  , m_earlier(GrantLifetime(), m_times.m_longestCut)
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
        m_earlier.Add(
          leader.m_leader, leader.m_term, OwnHostExpiry(leader.m_leader));
      }
    }
  }
  const bool isFresh =
    m_term != 0 ||
    IncarnationStart(aRecord.m_leader.m_incarnation) + kRecentRun >=
      IncarnationStart(m_self.m_incarnation);
  const bool isNew = aRecord.m_term > m_term;
  if (isNew && m_term != 0) {
    OnLeaderChange(aNow);
  }
  m_record = aRecord;
  m_term = std::max(m_term, aRecord.m_term);
  if (isNew && isFresh && !RecordedRunHasEnded()) {
    // Gives a leader that has just claimed the time to send heartbeats.
    m_leader = aRecord.m_leader;
    m_leaderHeartbeatAt = aNow;
    m_vacantSince.reset();
  }
  if (aRecord.m_leader != m_self) {
    Yield(aNow);
  }
}

void
Leadership::OnHost(const std::string& aHost, double aProcessorShare)
{
  m_candidates.try_emplace(aHost).first->second.m_processorShare =
    aProcessorShare;
}

void
Leadership::OnHeartbeat(TimePoint aNow,
                        const HostId& aFrom,
                        Term aTerm,
                        bool aLeads,
                        const Candidate& aCandidate)
{
  m_candidates[aFrom.m_host] = aCandidate;
  m_candidates[aFrom.m_host].m_lastHeartbeatAt = aNow;
  if (aLeads && aTerm >= m_term) {
    if (aTerm > m_term && m_term != 0) {
      OnLeaderChange(aNow);
    }
    m_leader = aFrom;
    m_leaderHeartbeatAt = aNow;
    m_vacantSince.reset();
  }
  if (aLeads && aTerm > m_record.m_term) {
    Yield(aNow); // a later leader has claimed
  }
  m_term = std::max(m_term, aTerm);
  m_earlier.OnHeartbeat(aNow, aFrom, aTerm, aLeads);
}

void
Leadership::OnResigned(TimePoint aNow,
                       const HostId& aFrom,
                       Term aTerm,
                       Millis aEnds,
                       bool aIsLatest)
{
  if (aTerm >= m_term && aFrom != m_self) {
    m_leader = {};
    m_vacantSince = aNow;
    m_resignedTerm = aTerm;
    m_resignedGrantsExpiry = aNow + aEnds;
    m_earlier.OnExpiryReported(aTerm, m_resignedGrantsExpiry);
    if (aIsLatest) {
      m_latestResignedTerm = aTerm;
    }
  }
}

void
Leadership::OnPause(TimePoint aFrom, TimePoint aNow) noexcept
{
  if (aNow >= aFrom + m_times.m_heartbeatTimeout - kHeartbeatInterval) {
    m_pausedAt = aNow;
  }
  m_leaderHeartbeatAt =
    std::max(m_leaderHeartbeatAt,
             aNow - HeartbeatTimeout(aNow) + kHeartbeatWaitAfterPause);
}

void
Leadership::OnLeaderChange(TimePoint aNow)
{
  m_leaderChanges.push_back(aNow);
  if (m_leaderChanges.size() > kUsualLeaderChanges + kMaxTimeoutDoublings) {
    m_leaderChanges.pop_front();
  }
}

/** Returns how long a leader sends no heartbeat before it counts as lost. */
Millis
Leadership::HeartbeatTimeout(TimePoint aNow) const
{
  const auto recent = static_cast<std::size_t>(std::count_if(
    m_leaderChanges.begin(), m_leaderChanges.end(), [&](TimePoint aWhen) {
      return aNow < aWhen + kLeaderChangeWindow;
    }));
  const auto doublings = recent > kUsualLeaderChanges
                           ? recent - kUsualLeaderChanges
                           : std::size_t{ 0 };
  return m_times.m_heartbeatTimeout * (1U << doublings);
}

bool
Leadership::IsIsolated(TimePoint aNow) const
{
  return !m_candidates.empty() &&
         std::none_of(
           m_candidates.begin(), m_candidates.end(), [&](const auto& aOne) {
             return aNow < aOne.second.m_lastHeartbeatAt + kCandidateTimeout;
           });
}

/** Returns the time since which the fleet is leaderless. It may lie in the
    future, when the current leader's heartbeat would time out. */
TimePoint
Leadership::LeaderlessSince(TimePoint aNow) const
{
  if (m_vacantSince) {
    return *m_vacantSince;
  }
  if (RecordedRunHasEnded() && m_leader == HostId{}) {
    return m_startedAt; // the recorded run has ended; no heartbeat can come
  }
  const Millis timeout = HeartbeatTimeout(aNow);
  return m_leaderHeartbeatAt +
         (IsIsolated(aNow) ? std::max(timeout, kIsolatedTimeout) : timeout);
}

bool
Leadership::CouldLead(TimePoint aNow, const Candidate& aCandidate) const
{
  return aCandidate.m_storeWorks && !aCandidate.m_stopping &&
         aNow < aCandidate.m_lastHeartbeatAt + kCandidateTimeout;
}

std::vector<std::string>
Leadership::ChooseSuccessors(TimePoint aNow) const
{
  std::vector<std::pair<double, std::string>> able;
  for (const auto& [host, candidate] : m_candidates) {
    if (CouldLead(aNow, candidate)) {
      able.emplace_back(-candidate.m_processorShare, host);
    }
  }
  std::sort(able.begin(), able.end());
  std::vector<std::string> successors;
  for (std::size_t i = 0; i < std::min(able.size(), kMaxSuccessors); ++i) {
    successors.push_back(able[i].second);
  }
  // A new leader does not have heartbeats from all candidates yet, and keeps
  // the successors that were named before.
  for (const auto& host : m_successors) {
    const bool isNew =
      m_leads && aNow < m_ledSince + kCandidateDiscovery &&
      host != m_self.m_host && successors.size() < kMaxSuccessors &&
      std::find(successors.begin(), successors.end(), host) == successors.end();
    if (isNew) {
      successors.push_back(host);
    }
  }
  return successors;
}

std::optional<std::size_t>
Leadership::SuccessorIndex(const std::string& aHost) const
{
  const auto at = std::find(m_successors.begin(), m_successors.end(), aHost);
  return at == m_successors.end()
           ? std::nullopt
           : std::optional(static_cast<std::size_t>(at - m_successors.begin()));
}

std::optional<std::size_t>
Leadership::ReaderIndex(TimePoint aNow) const
{
  // A new leader may have no heartbeats from the others yet, and name no
  // successors. The order of claims applies only without a leader.
  if (!m_successors.empty() || Leader(aNow)) {
    return SuccessorIndex(m_self.m_host);
  }
  const auto rank = static_cast<std::size_t>(Rank(aNow));
  return rank < kMaxSuccessors ? std::optional(rank) : std::nullopt;
}

/** Returns the place of this daemon in the order of claims: the order of the
    successors that the last leader named, or else the order by processor share
    and name of the daemons that send heartbeats. */
int
Leadership::Rank(TimePoint aNow) const
{
  if (!m_successors.empty()) {
    const auto place = SuccessorIndex(m_self.m_host);
    return static_cast<int>(
      place ? *place
            : m_successors.size() + StableHash(m_self.m_host) % kUnlistedTurns);
  }
  int rank = 0;
  const std::pair own(-m_processorShare, m_self.m_host);
  const bool justStarted = aNow < m_startedAt + kFleetDiscovery;
  for (const auto& [host, candidate] : m_candidates) {
    const bool better = std::pair(-candidate.m_processorShare, host) < own;
    // A daemon that has just started does not have heartbeats from all others
    // yet, and leaves a turn for each larger host.
    const bool maybe = justStarted &&
                       candidate.m_lastHeartbeatAt == TimePoint{} &&
                       candidate.m_processorShare > m_processorShare;
    rank += better && (maybe || CouldLead(aNow, candidate)) ? 1 : 0;
  }
  return rank;
}

void
Leadership::SetStoreWorks(TimePoint aNow, bool aWorks) noexcept
{
  if (aWorks && !m_storeWorks) {
    m_storeWorksSince = aNow;
  }
  m_storeWorks = aWorks;
}

void
Leadership::OnResignationReported(Term aTerm, TimePoint aEnds) noexcept
{
  if (aTerm > m_resignedTerm) {
    m_resignedTerm = aTerm;
    m_resignedGrantsExpiry = aEnds;
    m_earlier.OnExpiryReported(aTerm, aEnds);
  }
}

bool
Leadership::ShouldClaim(TimePoint aNow) const
{
  if (m_leads || !m_storeWorks ||
      (m_resignedAt != TimePoint{} &&
       aNow < m_resignedAt + kClaimPauseAfterResigning)) {
    return false;
  }
  // After a store outage all daemons reach the store at the same time. Their
  // turns begin when the store answers again.
  const TimePoint since = std::max(LeaderlessSince(aNow), m_storeWorksSince);
  return aNow >= since + Rank(aNow) * m_times.m_stagger;
}

bool
Leadership::ShouldRead(TimePoint aNow) const
{
  return !m_recordRead && m_storeWorks && m_leader == HostId{} &&
         aNow >= m_startedAt + kFirstHeartbeats &&
         aNow < m_startedAt + kFleetDiscovery && Rank(aNow) < kRecordReaders;
}

/** Whether the run that claimed last has probably ended: another run has been
    heard on its host since. Used only to claim without waiting for a heartbeat,
    which is safe in any case. */
bool
Leadership::RecordedRunHasEnded() const
{
  const auto& leader = m_record.m_leader;
  if (m_record.m_term == 0 || m_record.m_term < m_term) {
    return false;
  }
  if (leader.m_host == m_self.m_host) {
    return leader.m_incarnation != m_self.m_incarnation;
  }
  const auto* run = m_earlier.LastHeardRun(leader.m_host);
  return run != nullptr && run->m_incarnation != leader.m_incarnation;
}

/** Whether the store has recently answered another daemon. A daemon whose last
    answer is older than this leader's outage may be cut off as well. */
bool
Leadership::OthersReachStore(TimePoint aNow) const
{
  return std::any_of(
    m_candidates.begin(), m_candidates.end(), [&](const auto& aOne) {
      const auto& candidate = aOne.second;
      return CouldLead(aNow, candidate) &&
             aNow < candidate.m_storeConfirmedAt + kPeerStoreAnswerMaxAge;
    });
}

bool
Leadership::CanHandOver(TimePoint aNow) const
{
  const bool storeWorks =
    m_storeWorks && aNow < m_confirmedAt + kOwnConfirmationMaxAge;
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
    m_leads && aNow >= m_confirmedAt + kResignAfter && OthersReachStore(aNow);
  if (!othersReach) {
    m_othersReachSince = {};
  } else if (m_othersReachSince == TimePoint{}) {
    m_othersReachSince = aNow;
  }
  // At the end of an outage the store may answer other daemons a moment before
  // it answers this leader, so they must reach it for some time.
  return (othersReach && aNow >= m_othersReachSince + kOthersReachStoreFor) ||
         IsTooSmall(aNow);
}

bool
Leadership::IsTooSmall(TimePoint aNow) const
{
  return m_leads && m_storeWorks && aNow >= m_ledSince + kMinTimeAsLeader &&
         std::any_of(
           m_candidates.begin(), m_candidates.end(), [&](const auto& aOne) {
             const auto& [host, candidate] = aOne;
             const auto* run = m_earlier.LastHeardRun(host);
             return candidate.m_processorShare >=
                      m_processorShare * kMinProcessorRatio &&
                    CouldLead(aNow, candidate) && run != nullptr &&
                    aNow >= run->m_seenAt + kMinTimeAsLeader;
           });
}

void
Leadership::Resign(TimePoint aNow) noexcept
{
  m_leads = false;
  m_idleSince = aNow;
  m_resignedAt = aNow;
  m_leaderHeartbeatAt = aNow;
  m_vacantSince.reset();
}

std::optional<HostId>
Leadership::Leader(TimePoint aNow) const
{
  if (m_leads) {
    return m_self;
  }
  if (m_leader.m_host.empty() ||
      aNow >= m_leaderHeartbeatAt + HeartbeatTimeout(aNow)) {
    return std::nullopt;
  }
  return m_leader;
}

} // namespace sapphirehook
