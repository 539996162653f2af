#ifndef SAPPHIREHOOK_KEYS_EARLIER_GRANTS_HPP
#define SAPPHIREHOOK_KEYS_EARLIER_GRANTS_HPP

#include "sapphirehook/core/ids.hpp"
#include "sapphirehook/core/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sapphirehook {

/** Stored form of a leader of an earlier term whose grants may not have expired
    yet. */
struct EarlierLeader
{
  HostId m_leader;
  Term m_term = 0;
  /** Time from the append of the record until all its grants have expired, in
      milliseconds. */
  std::int64_t m_expiresInMs = 0;

  MSGPACK_DEFINE_ARRAY(m_leader, m_term, m_expiresInMs)
  auto operator<=>(const EarlierLeader&) const = default;
};

/** Computes when the grants of earlier leaders have expired. An earlier leader
    may act until its authority ends, unless it says itself that it has stopped:
    by a heartbeat that it does not lead any more, or by its resignation. Such
    evidence lowers the expiry whenever it arrives, also while a later leader
    already waits for the expiry.

    A later run on the leader's host proves the end of its process, but not of
    its grants: a killed process resets no connection, so what a network cut
    holds up arrives when the cut heals (review/2). From then the longest cut is
    waited out. */
class EarlierGrants
{
public:
  /** aGrantLifetime is the longest time from a leader's last command to the
      expiry of the lease that the command grants. aLongestCut is the longest
      time for which a cut holds up a command of a killed process. */
  EarlierGrants(std::chrono::nanoseconds aGrantLifetime, Millis aLongestCut)
    : m_grantLifetime(aGrantLifetime)
    , m_longestCut(aLongestCut)
  {
  }

  /** Processes a daemon's heartbeat: the highest term that the daemon knows,
      and whether it leads. */
  void OnHeartbeat(TimePoint aNow,
                   const HostId& aFrom,
                   Term aTerm,
                   bool aLeads);

  /** Processes a leader's report of when the grants of its term expire. */
  void OnExpiryReported(Term aTerm, TimePoint aEnds);

  /** Adds a leader of an earlier term. aLatest is an upper bound of the expiry
      of its grants. */
  void Add(const HostId& aLeader, Term aTerm, TimePoint aLatest);

  /** Adds the earlier leaders that a stored record lists. */
  void AddStored(TimePoint aNow, const std::vector<EarlierLeader>& aLeaders);

  /** Returns the time by which a leader has certainly stopped, or nothing while
      there is no evidence. */
  [[nodiscard]] std::optional<TimePoint> StoppedBy(const HostId& aLeader,
                                                   Term aTerm) const;

  /** Returns the time by which the process of a leader has certainly ended, or
      nothing while there is no evidence. A later run knows the leader's term;
     an earlier run had ended before that term was claimed, since a host runs
     one process at a time. The numbers of runs say nothing of their order. */
  [[nodiscard]] std::optional<TimePoint> EndedBy(const HostId& aLeader,
                                                 Term aTerm) const;

  /** Returns the time at which the last of the grants expires. */
  [[nodiscard]] TimePoint Expiry() const noexcept;

  /** Returns the leaders whose grants may not have expired yet, in stored form.
   */
  [[nodiscard]] std::vector<EarlierLeader> RemainingLeaders(
    TimePoint aNow) const;

  /** The run of the daemon on a host from which the last heartbeat came. It may
      be an earlier run than one that was heard before, since heartbeats may
      arrive late. */
  struct Run
  {
    std::uint64_t m_incarnation = 0;
    /** Arrival of the first heartbeat in the present series from this run. */
    TimePoint m_seenAt{};
    /** Highest term that the run has reported to know. */
    Term m_knownTerm = 0;
    /** When the run first reported that it knows m_idleTerm and does not lead.
        Empty while it leads. */
    std::optional<TimePoint> m_idleSince;
    Term m_idleTerm = 0;
  };
  [[nodiscard]] const Run* LastHeardRun(const std::string& aHost) const;

private:
  /** Lowers the upper bounds by the evidence that has arrived. */
  void ApplyEvidence();

  std::chrono::nanoseconds m_grantLifetime;
  Millis m_longestCut;
  std::map<std::string, Run> m_runs;
  /** Expiry of each term's grants, as reported by the term's leader. */
  std::map<Term, TimePoint> m_reportedExpiry;
  /** Upper bound of the expiry of each leader's grants. */
  std::map<std::pair<Term, HostId>, TimePoint> m_expiries;
};

} // namespace sapphirehook

#endif
