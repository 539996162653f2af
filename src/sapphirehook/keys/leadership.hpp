#ifndef SAPPHIREHOOK_KEYS_LEADERSHIP_HPP
#define SAPPHIREHOOK_KEYS_LEADERSHIP_HPP

#include "sapphirehook/core/ids.hpp"
#include "sapphirehook/core/time.hpp"
#include "sapphirehook/keys/earlier_grants.hpp"

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
    it, so that an append whose answer was lost can be told from others. */
struct LeaderRecord
{
  Term m_term = 0;
  HostId m_leader;
  std::uint64_t m_sequence = 0;
  /** Grants of still earlier leaders may last this long after the append, in
      milliseconds. */
  std::int64_t m_earlierGrantsMs = 0;
  /** The same by leader; daemons of earlier versions write none. */
  std::vector<EarlierLeader> m_earlier = {};

  MSGPACK_DEFINE_ARRAY(m_term,
                       m_leader,
                       m_sequence,
                       m_earlierGrantsMs,
                       m_earlier)
  auto operator<=>(const LeaderRecord&) const = default;
};

/** Durations of leadership. */
struct LeadershipTimes
{
  /** A leader acts for this long after the store has proved its term. It
      covers the outages of the store that a leader should outlast. */
  Millis m_authority{ 15'000 };
  /** A leader that has not been heard of for this long is replaced. */
  Millis m_silence{ 700 };
  /** Candidates claim one after the other, by this much. */
  Millis m_stagger{ 250 };
  /** How long a grant may last on the endpoint's clock. */
  Millis m_hold{ 4000 };
  /** An order reaches its endpoint within this time, or not at all. */
  Millis m_orderLasts{ 400 };
  unsigned m_driftPpm = 20'000;
};

/** What is known of another daemon that may lead. */
struct Candidate
{
  bool m_storeWorks = false;
  /** When the store last answered it. */
  TimePoint m_storeProvenAt{};
  bool m_stopping = false;
  TimePoint m_heardAt{};
  /** Part of a core that it may use. */
  double m_processorShare = 0.0;
};

/** Decides when this daemon should claim to lead, whether it may act as the
    leader, and how long an earlier leader's grants may last. Terms are claimed
    by a conditional append, so there is one leader for each term; an earlier
    one may go on until its authority ends, and does no harm meanwhile: it
    cannot store a move, and endpoints refuse its lower fences. */
class Leadership
{
public:
  Leadership(LeadershipTimes aTimes,
             HostId aSelf,
             double aProcessorShare,
             TimePoint aNow);

  /** The store holds this record. */
  void OnRecord(TimePoint aNow, const LeaderRecord& aRecord);

  /** A host is registered, with a part of a core; whether a daemon runs there
     is not known yet. */
  void OnHost(const std::string& aHost, double aProcessorShare);

  /** A daemon has been heard of. */
  void OnBeat(TimePoint aNow,
              const HostId& aFrom,
              Term aTerm,
              bool aLeads,
              const Candidate& aCandidate);

  /** This daemon did not run until now, and heard nobody meanwhile. */
  void OnPause(TimePoint aNow) noexcept;

  /** The leader has named the daemons that should claim after it, in order. */
  void SetHeirs(std::vector<std::string> aHeirs)
  {
    m_heirs = std::move(aHeirs);
  }

  /** Place of a daemon among those that the leader has named to claim after it;
      the first is 0. */
  [[nodiscard]] std::optional<std::size_t> HeirPlace(
    const std::string& aHost) const;

  /** Place of this daemon among those that should read for a fleet when the
      leader does not: its place as an heir, or while no leader has named any,
     by processor and name. */
  [[nodiscard]] std::optional<std::size_t> ReadingPlace(TimePoint aNow) const;

  /** A leader has stepped down; its grants end by a time. */
  void OnResigned(TimePoint aNow,
                  const HostId& aFrom,
                  Term aTerm,
                  Millis aEnds);

  /** The store serves this daemon from now on, or no longer. */
  void SetStoreWorks(TimePoint aNow, bool aWorks) noexcept;

  /** Whether this daemon should claim now. */
  [[nodiscard]] bool ShouldClaim(TimePoint aNow) const;

  /** Whether this daemon should read the stored record, as it may be the next
      to claim and has not read it since its start. */
  [[nodiscard]] bool ShouldRead(TimePoint aNow) const;

  /** Daemons that should claim when this leader is lost, the best first. */
  [[nodiscard]] std::vector<std::string> ChooseHeirs(TimePoint aNow) const;

  /** Whether this leader should make room for another: it lacks the store, or
      leads on a host much smaller than another. */
  [[nodiscard]] bool ShouldResign(TimePoint aNow);

  /** Whether another daemon could claim, were this leader to step down now. */
  [[nodiscard]] bool CanHandOver(TimePoint aNow) const;

  /** The store holds this daemon's claim. */
  void OnClaimed(TimePoint aNow, Term aTerm);

  /** The store proved at a time that this daemon's term is the last. */
  void OnProof(TimePoint aProvenAt) noexcept;

  /** Steps down. */
  void Resign(TimePoint aNow) noexcept;

  [[nodiscard]] bool Leads() const noexcept { return m_leads; }

  /** When this daemon last began to lead. */
  [[nodiscard]] TimePoint LedSince() const noexcept { return m_ledSince; }

  /** Whether this daemon may send orders as the leader. */
  [[nodiscard]] bool HasAuthority(TimePoint aNow) const noexcept
  {
    return m_leads && aNow < m_provenAt + m_times.m_authority;
  }

  /** When all grants of earlier leaders have run out. It may come earlier, as
      signs of their end are found. */
  [[nodiscard]] TimePoint ForeignGrantsEnd() const noexcept
  {
    return m_earlier.End();
  }

  /** Returns this leader's record as it is to be stored after a claim of a
      term, or with a change. */
  [[nodiscard]] LeaderRecord RecordFor(TimePoint aNow,
                                       Term aTerm,
                                       std::uint64_t aSequence) const;

  /** Last time at which the store proved that no later leader has claimed. */
  [[nodiscard]] TimePoint ProvenAt() const noexcept { return m_provenAt; }

  /** The last leader known to have stepped down in an orderly way. */
  [[nodiscard]] Term ResignedTerm() const noexcept { return m_resignedTerm; }
  [[nodiscard]] TimePoint ResignedEnds() const noexcept
  {
    return m_resignedEnds;
  }

  /** Takes a peer's word of a leader that stepped down. */
  void OnResignationTold(Term aTerm, TimePoint aEnds) noexcept;

  /** Highest term known. */
  [[nodiscard]] Term HighestTerm() const noexcept { return m_term; }

  /** The leader last heard of; empty when it has been silent. */
  [[nodiscard]] std::optional<HostId> Leader(TimePoint aNow) const;

private:
  void OnLeaderChange(TimePoint aNow);
  [[nodiscard]] Millis Silence(TimePoint aNow) const;
  [[nodiscard]] bool IsAlone(TimePoint aNow) const;
  [[nodiscard]] TimePoint LostSince(TimePoint aNow) const;
  [[nodiscard]] TimePoint PredecessorEnds(TimePoint aNow) const;
  [[nodiscard]] int Rank(TimePoint aNow) const;
  [[nodiscard]] bool CouldLead(TimePoint aNow,
                               const Candidate& aCandidate) const;
  [[nodiscard]] bool IsTooSmall(TimePoint aNow) const;
  [[nodiscard]] bool RecordedRunHasEnded() const;
  [[nodiscard]] bool OthersReachStore(TimePoint aNow) const;
  [[nodiscard]] std::chrono::nanoseconds HoldEnd() const noexcept
  {
    return m_times.m_orderLasts + WithDrift(m_times.m_hold, m_times.m_driftPpm);
  }

  LeadershipTimes m_times;
  HostId m_self;
  double m_processorShare;
  Term m_term = 0;
  LeaderRecord m_record;
  bool m_recordRead = false;
  HostId m_leader;
  TimePoint m_leaderHeardAt;
  /** When the last leader stepped down, while no other has been heard of. */
  std::optional<TimePoint> m_vacantSince;
  /** When the last leaders were first heard of. */
  std::deque<TimePoint> m_leaderChanges;
  std::map<std::string, Candidate> m_candidates;
  std::vector<std::string> m_heirs;
  bool m_leads = false;
  TimePoint m_ledSince{};
  TimePoint m_provenAt{};
  TimePoint m_startedAt;
  /** When this daemon started, or last stopped to lead. */
  TimePoint m_idleSince;
  EarlierGrants m_earlier;
  /** The last leader that stepped down in an orderly way. */
  Term m_resignedTerm = 0;
  TimePoint m_resignedEnds{};
  TimePoint m_resignedAt{};
  /** Since when another daemon has reached the store and this leader not. */
  TimePoint m_othersReachSince{};
  bool m_storeWorks = false;
  TimePoint m_storeSince{};
};

} // namespace sapphirehook

#endif
