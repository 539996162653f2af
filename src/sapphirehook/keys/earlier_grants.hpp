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

/** A leader of an earlier term whose grants may last, as it is stored. */
struct EarlierLeader
{
  HostId m_leader;
  Term m_term = 0;
  /** Its grants have run out this long after the append, in milliseconds. */
  std::int64_t m_endsInMs = 0;

  MSGPACK_DEFINE_ARRAY(m_leader, m_term, m_endsInMs)
  auto operator<=>(const EarlierLeader&) const = default;
};

/** Tells when the grants of earlier leaders have run out. Each may go on until
    its authority ends, unless there is a sign that it has stopped: another run
    on its host, its own word that it does not lead any more, or its
    resignation. Signs count whenever they come, also while a later leader waits
    already. */
class EarlierGrants
{
public:
  /** aHoldEnd is the longest time from a leader's last order to the end of what
      that grants. */
  explicit EarlierGrants(std::chrono::nanoseconds aHoldEnd)
    : m_holdEnd(aHoldEnd)
  {
  }

  /** A daemon has been heard of: it knows a term, and leads or not. */
  void OnBeat(TimePoint aNow, const HostId& aFrom, Term aTerm, bool aLeads);

  /** The grants of a term run out by a time, by its leader's word. */
  void OnTold(Term aTerm, TimePoint aEnds);

  /** A daemon has led a term; its grants have run out by a time at the latest.
   */
  void Add(const HostId& aLeader, Term aTerm, TimePoint aLatest);

  /** Takes in what a stored record says. */
  void AddStored(TimePoint aNow, const std::vector<EarlierLeader>& aLeaders);

  /** When a leader has stopped for certain; empty while there is no sign. */
  [[nodiscard]] std::optional<TimePoint> StoppedBy(const HostId& aLeader,
                                                   Term aTerm) const;

  /** When the last of the grants has run out. */
  [[nodiscard]] TimePoint End() const noexcept;

  /** Returns the leaders whose grants may last, to be stored. */
  [[nodiscard]] std::vector<EarlierLeader> Left(TimePoint aNow) const;

  /** The latest run that was heard of on a host, and since when. */
  struct Run
  {
    std::uint64_t m_incarnation = 0;
    TimePoint m_seenAt{};
    /** It has said since then that it does not lead, though it knows a term. */
    std::optional<TimePoint> m_idleSince;
    Term m_idleTerm = 0;
  };
  [[nodiscard]] const Run* RunOn(const std::string& aHost) const;

private:
  void LowerBySigns();

  std::chrono::nanoseconds m_holdEnd;
  std::map<std::string, Run> m_runs;
  std::map<Term, TimePoint> m_told;
  /** When each leader's grants have run out at the latest. */
  std::map<std::pair<Term, HostId>, TimePoint> m_ends;
};

} // namespace sapphirehook

#endif
