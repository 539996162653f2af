#ifndef SAPPHIREHOOK_KEYS_LEADERSHIP_HPP
#define SAPPHIREHOOK_KEYS_LEADERSHIP_HPP

#include "sapphirehook/core/ids.hpp"
#include "sapphirehook/core/time.hpp"
#include "sapphirehook/keys/earlier_grants.hpp"
#include "sapphirehook/store/store_position.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sapphirehook {

/** The stored record that names the leader. Each append of a leader rewrites
    the record with a new sequence number, so that a leader whose append got no
    answer can tell from the stored record whether that append was made. */
struct LeaderRecord
{
  Term m_term = 0;
  HostId m_leader;
  std::uint64_t m_sequence = 0;
  /** Longest time from the append until the grants of all earlier leaders have
      expired, in milliseconds. */
  std::int64_t m_earlierGrantsMs = 0;
  /** The remaining time of each earlier leader's grants. Daemons of earlier
      versions leave the list empty. */
  std::vector<EarlierLeader> m_earlier = {};
  /** Era of the store in which the term was claimed. Empty in records of
      daemons of earlier versions. */
  std::optional<StoreEra> m_era = std::nullopt;
  /** Assignments before this offset may be out of date, because the store was
      restored from an older copy and no leader of before has written its
      assignments again. */
  Offset m_trustedFrom = 0;

  MSGPACK_DEFINE_ARRAY(m_term,
                       m_leader,
                       m_sequence,
                       m_earlierGrantsMs,
                       m_earlier,
                       m_era,
                       m_trustedFrom)
  auto operator<=>(const LeaderRecord&) const = default;
};

/** Durations that leadership depends on. */
struct LeadershipTimes
{
  /** A leader may act for this long after the store has confirmed its term. The
      time covers the store outages that a leader should outlast. */
  Millis m_authority{ 15'000 };
  /** A leader without a heartbeat for this long is replaced. */
  Millis m_heartbeatTimeout{ 700 };
  /** Delay between the claims of successive candidates. */
  Millis m_stagger{ 250 };
  /** Lease duration of a grant, on the endpoint's clock. */
  Millis m_leaseDuration{ 4000 };
  /** A command reaches its endpoint within this time, or not at all. */
  Millis m_commandTimeout{ 400 };
  /** A command of a killed process that a network cut holds up arrives within
      this time after the end of the process, or not at all. The protocol bounds
      no cut, so this is a compromise: keys of endpoints that end together with
      the leader stay without a holder for this long and a lease. */
  Millis m_longestCut{ 15'000 };
  /** Largest amount by which an endpoint's clock may run slow. */
  unsigned m_driftPpm = 20'000;
};

/** A claim of a term. */
struct TermClaim
{
  Term m_term = 0;
  /** When the claim was sent to the store. */
  TimePoint m_sentAt{};
  /** Whether the stored record named the last earlier leader. Otherwise the
      store may have lost claims and assignments, and the grants of earlier
      leaders count as valid for as long as any of them may have acted. */
  bool m_knowsEarlier = true;
};

/** State of another daemon that may become the leader. */
struct Candidate
{
  bool m_storeWorks = false;
  /** When the store last answered the daemon. */
  TimePoint m_storeConfirmedAt{};
  bool m_stopping = false;
  TimePoint m_lastHeartbeatAt{};
  /** Part of a processor core that the daemon may use. */
  double m_processorShare = 0.0;
};

/** Returns the lowest term that may be claimed in an era of the store. It is
    above all terms of earlier eras, also of claims that a restore of the store
    has lost, and so are the fences of the term. */
[[nodiscard]] constexpr Term
FirstTermOf(StoreEra aEra) noexcept
{
  constexpr unsigned kTermsPerEraBits = 20;
  return (aEra << kTermsPerEraBits) + 1;
}

/** Decides when this daemon should claim leadership, whether it may act as the
    leader, and when the grants of earlier leaders expire. A daemon claims a
    term with a conditional append, so each term has one leader. An earlier
    leader may go on until its authority ends. It does no harm meanwhile: it
    cannot store a move, and endpoints refuse its lower fences.

    A restore of the store from an older copy loses claims and assignments. A
    leader that lives through it claims a new term and writes all its
    assignments again. Any other daemon that claims first cannot know who was
    granted what, and waits until every grant of before has expired. */
class Leadership
{
public:
  Leadership(LeadershipTimes aTimes,
             HostId aSelf,
             double aProcessorShare,
             TimePoint aNow);

  /** Processes the leader record that the store holds. */
  void OnRecord(TimePoint aNow, const LeaderRecord& aRecord);

  /** Adds a registered host with its part of a processor core. Whether a daemon
      runs on the host is not known yet. */
  void OnHost(const std::string& aHost, double aProcessorShare);

  /** Processes a daemon's heartbeat. */
  void OnHeartbeat(TimePoint aNow,
                   const HostId& aFrom,
                   Term aTerm,
                   bool aLeads,
                   const Candidate& aCandidate);

  /** This daemon was paused from aFrom until now and received no heartbeats
      meanwhile. */
  void OnPause(TimePoint aFrom, TimePoint aNow) noexcept;

  /** Sets the successors that the leader has named, in the order in which they
      should claim. */
  void SetSuccessors(std::vector<std::string> aSuccessors)
  {
    m_successors = std::move(aSuccessors);
  }

  /** Returns the place of a daemon in the leader's list of successors, from 0,
      or nothing if it is not listed. */
  [[nodiscard]] std::optional<std::size_t> SuccessorIndex(
    const std::string& aHost) const;

  /** Returns the place of this daemon among those that should read the store
      for a fleet when the leader does not: its place as a successor, or its
      place by processor share and name while no leader has named successors. */
  [[nodiscard]] std::optional<std::size_t> ReaderIndex(TimePoint aNow) const;

  /** Processes a leader's resignation. All its grants have expired aEnds from
      now. aIsLatest is whether no other daemon has led since, also if the store
      has lost claims. */
  void OnResigned(TimePoint aNow,
                  const HostId& aFrom,
                  Term aTerm,
                  Millis aEnds,
                  bool aIsLatest = false);

  /** Sets whether the store answers this daemon. */
  void SetStoreWorks(TimePoint aNow, bool aWorks) noexcept;

  /** Whether this daemon should claim leadership now. */
  [[nodiscard]] bool ShouldClaim(TimePoint aNow) const;

  /** Whether this daemon should read the stored leader record: it may be the
      next to claim, and has not read the record since its start. */
  [[nodiscard]] bool ShouldRead(TimePoint aNow) const;

  /** Returns the daemons that should claim when this leader is lost, the best
      first. */
  [[nodiscard]] std::vector<std::string> ChooseSuccessors(TimePoint aNow) const;

  /** Whether this leader should resign in favour of another daemon: it cannot
      reach the store, or another host has a much larger processor share. */
  [[nodiscard]] bool ShouldResign(TimePoint aNow);

  /** Whether another daemon could claim if this leader resigned now. */
  [[nodiscard]] bool CanHandOver(TimePoint aNow) const;

  /** Takes the latest known era of the store. */
  void OnEra(StoreEra aEra) noexcept;

  /** The store was restored while this daemon or a peer followed it. */
  void OnRestoreSeen() noexcept { m_sawRestore = true; }

  /** The daemons of the fleet have run before, so there was a leader. */
  void OnFleetHasRun() noexcept { m_fleetHasRun = true; }

  /** Whether the stored leader record names the last leader that may have
      granted keys. Otherwise a restore of the store has lost later claims, or
      may have. */
  [[nodiscard]] bool KnowsEarlierLeaders(
    const std::optional<LeaderRecord>& aStored) const noexcept;

  /** Returns the latest known era of the store. */
  [[nodiscard]] StoreEra Era() const noexcept { return m_era; }

  /** Returns the term to claim next: above every known one, and above all that
      may have been claimed in earlier eras of the store. */
  [[nodiscard]] Term NextTerm() const noexcept
  {
    return std::max(m_term + 1, FirstTermOf(m_era));
  }

  /** Whether this leader's term is the latest although the store may have lost
      later claims: no daemon has reported a later term, and since the store
      last confirmed the term this daemon has not been paused for so long that
      others replace it. */
  [[nodiscard]] bool IsLatest() const noexcept
  {
    return m_leads && m_term == m_record.m_term && m_pausedAt <= m_confirmedAt;
  }

  /** Whether each daemon that may have claimed recently has been heard since
      aSince, so that its highest term is known. Daemons that have not been
     heard for long, or are stopping, do not count. */
  [[nodiscard]] bool HasHeardAllSince(TimePoint aSince, TimePoint aNow) const;

  /** Whether this leader has lived through a restore of the store: it is the
      latest one, with authority, and has heard the other daemons since aSince,
      when it learned of the restore. */
  [[nodiscard]] bool HasLivedThrough(TimePoint aSince, TimePoint aNow) const
  {
    return IsLatest() && HasAuthority(aNow) && !IsIsolated(aNow) &&
           HasHeardAllSince(aSince, aNow);
  }

  /** Whether other hosts are known and none of them sends heartbeats. */
  [[nodiscard]] bool IsIsolated(TimePoint aNow) const;

  /** Whether this daemon would have heard a leader that lived through a restore
      of the store. Only such a leader can claim without that all keys have to
      wait. */
  [[nodiscard]] bool HasWaitedForLeader(TimePoint aNow) const noexcept;

  /** The store has accepted this daemon's claim in the present era. */
  void OnClaimed(TimePoint aNow, const TermClaim& aClaim);

  /** The store has accepted this leader's claim of a new term in the present
      era, which was sent at aSentAt. */
  void OnReclaimed(TimePoint aSentAt, Term aTerm) noexcept;

  /** The store has confirmed in an era that this daemon's term is the latest;
      the confirmation is as of aConfirmedAt. */
  void OnTermConfirmed(TimePoint aConfirmedAt, StoreEra aEra) noexcept;

  /** Gives up leadership because another daemon leads or has led since. */
  void Yield(TimePoint aNow) noexcept;

  /** Gives up leadership. */
  void Resign(TimePoint aNow) noexcept;

  [[nodiscard]] bool Leads() const noexcept { return m_leads; }

  /** When this daemon last became the leader. */
  [[nodiscard]] TimePoint LedSince() const noexcept { return m_ledSince; }

  /** Whether this daemon may send commands as the leader. */
  [[nodiscard]] bool HasAuthority(TimePoint aNow) const noexcept
  {
    return m_leads && aNow < m_confirmedAt + m_times.m_authority;
  }

  /** Returns the time by which all grants of earlier leaders have expired. The
      time moves earlier as evidence arrives that those leaders have stopped. */
  [[nodiscard]] TimePoint PreviousGrantsExpiry() const noexcept
  {
    return m_earlier.Expiry();
  }

  /** Returns this leader's record, to be stored with the claim of a term or
      with a later change. */
  [[nodiscard]] LeaderRecord RecordFor(TimePoint aNow,
                                       Term aTerm,
                                       std::uint64_t aSequence) const;

  /** Last time as of which the store confirmed that no later leader has
      claimed. */
  [[nodiscard]] TimePoint ConfirmedAt() const noexcept { return m_confirmedAt; }

  /** Term of the latest leader that is known to have resigned. */
  [[nodiscard]] Term ResignedTerm() const noexcept { return m_resignedTerm; }
  /** When the grants of that leader have expired. */
  [[nodiscard]] TimePoint ResignedGrantsExpiry() const noexcept
  {
    return m_resignedGrantsExpiry;
  }

  /** Processes a peer's report that the leader of a term has resigned. */
  void OnResignationReported(Term aTerm, TimePoint aEnds) noexcept;

  /** Returns the highest known term. */
  [[nodiscard]] Term HighestTerm() const noexcept { return m_term; }

  /** Returns the current leader, or nothing if its heartbeat has timed out. */
  [[nodiscard]] std::optional<HostId> Leader(TimePoint aNow) const;

private:
  void OnLeaderChange(TimePoint aNow);
  [[nodiscard]] Millis HeartbeatTimeout(TimePoint aNow) const;
  [[nodiscard]] TimePoint LeaderlessSince(TimePoint aNow) const;
  [[nodiscard]] TimePoint PredecessorExpiry(TimePoint aNow) const;
  [[nodiscard]] TimePoint OwnHostExpiry(const HostId& aLeader) const;
  [[nodiscard]] int Rank(TimePoint aNow) const;
  [[nodiscard]] bool CouldLead(TimePoint aNow,
                               const Candidate& aCandidate) const;
  [[nodiscard]] bool IsTooSmall(TimePoint aNow) const;
  [[nodiscard]] bool RecordedRunHasEnded() const;
  [[nodiscard]] bool OthersReachStore(TimePoint aNow) const;
  /** Longest time from sending a grant to the expiry of its lease. */
  [[nodiscard]] std::chrono::nanoseconds GrantLifetime() const noexcept
  {
    return m_times.m_commandTimeout +
           WithDrift(m_times.m_leaseDuration, m_times.m_driftPpm);
  }

  LeadershipTimes m_times;
  HostId m_self;
  double m_processorShare;
  Term m_term = 0;
  LeaderRecord m_record;
  bool m_recordRead = false;
  HostId m_leader;
  TimePoint m_leaderHeartbeatAt;
  /** When the last leader resigned; empty once another leader is known. */
  std::optional<TimePoint> m_vacantSince;
  /** When the latest leaders first became known. */
  std::deque<TimePoint> m_leaderChanges;
  std::map<std::string, Candidate> m_candidates;
  std::vector<std::string> m_successors;
  bool m_leads = false;
  TimePoint m_ledSince{};
  TimePoint m_confirmedAt{};
  /** Latest known era of the store, and the era in which this leader's term was
      claimed. */
  StoreEra m_era = 0;
  StoreEra m_termEra = 0;
  /** End of the last pause after which another daemon may lead. */
  TimePoint m_pausedAt{};
  bool m_sawRestore = false;
  bool m_fleetHasRun = false;
  TimePoint m_startedAt;
  /** When this daemon started, or last ceased to lead. */
  TimePoint m_idleSince;
  EarlierGrants m_earlier;
  /** Term of the latest leader that resigned. */
  Term m_resignedTerm = 0;
  TimePoint m_resignedGrantsExpiry{};
  /** Term of the latest leader that resigned and was certainly the latest. */
  Term m_latestResignedTerm = 0;
  TimePoint m_resignedAt{};
  /** Since when another daemon reaches the store while this leader does not. */
  TimePoint m_othersReachSince{};
  bool m_storeWorks = false;
  TimePoint m_storeWorksSince{};
};

} // namespace sapphirehook

#endif
