#ifndef SAPPHIREHOOK_STORE_OUTAGE_WATCH_HPP
#define SAPPHIREHOOK_STORE_OUTAGE_WATCH_HPP

#include "sapphirehook/core/time.hpp"

#include <optional>

namespace sapphirehook {

/** Determines whether entries may have lapsed because their writers could not
    reach the store. It combines the store's availability as observed by this
    daemon and its peers. No entry lapses during an outage that is shorter than
    the shortest lapse time, or in which the store serves other daemons. A
    removal around such an outage was therefore intended. */
class OutageWatch
{
public:
  /** aShortestLapse is the duration of the shortest outage that lets an entry
      lapse. */
  explicit OutageWatch(Millis aShortestLapse)
    : m_shortestLapse(aShortestLapse)
  {
  }

  /** Records that the store served this daemon or a peer at a time. */
  void OnServed(TimePoint aAt) noexcept;

  /** Records that the store refused a call. An outage begins no earlier than
      this, since the store was running until then. */
  void OnRefused(TimePoint aNow) noexcept;

  /** Records that the store did not answer a call. It may have been unavailable
      since it last served this daemon or a peer. */
  void OnTimeout(TimePoint aNow) noexcept;

  /** Records that the store was restored from an older copy at a time. Entries
      that are missing from the copy are written again by their owners. */
  void OnRestored(TimePoint aAt) noexcept { m_restoredAt = aAt; }

  /** Returns whether an entry that is now found removed may have lapsed. */
  [[nodiscard]] bool MayHaveLapsed(TimePoint aNow) const noexcept;

  /** Returns when the outage or the restore that MayHaveLapsed refers to ended,
      or aNow while the outage lasts. */
  [[nodiscard]] TimePoint EndedAt(TimePoint aNow) const noexcept;

private:
  Millis m_shortestLapse;
  TimePoint m_servedAt{};
  std::optional<TimePoint> m_outageSince;
  /** End of the last outage in which entries may have lapsed. */
  std::optional<TimePoint> m_longOutageEnded;
  /** When the store was last restored. */
  std::optional<TimePoint> m_restoredAt;
};

} // namespace sapphirehook

#endif
