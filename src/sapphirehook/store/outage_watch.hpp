#ifndef SAPPHIREHOOK_STORE_OUTAGE_WATCH_HPP
#define SAPPHIREHOOK_STORE_OUTAGE_WATCH_HPP

#include "sapphirehook/core/time.hpp"

#include <optional>

namespace sapphirehook {

/** Tells whether entries may have lapsed because their writers could not reach
    the store. It follows what this daemon and its peers see of the store: an
    outage that ended before a lapse was due, or in which others were served,
    lapses nothing, so that what is removed has been removed on purpose. */
class OutageWatch
{
public:
  /** aShortestLapse is the shortest outage in which an entry lapses. */
  explicit OutageWatch(Millis aShortestLapse)
    : m_shortestLapse(aShortestLapse)
  {
  }

  /** The store served this daemon or a peer at a time. */
  void OnServed(TimePoint aAt) noexcept;

  /** It refused a call, so that it was still at work before. */
  void OnRefused(TimePoint aNow) noexcept;

  /** It left a call unanswered, and may have been away since it last served
      anyone. */
  void OnSilence(TimePoint aNow) noexcept;

  /** Whether an entry that is found to be removed may have lapsed. */
  [[nodiscard]] bool MayHaveLapsed(TimePoint aNow) const noexcept;

  /** When the outage ended that MayHaveLapsed tells of: now while it lasts. */
  [[nodiscard]] TimePoint EndedAt(TimePoint aNow) const noexcept
  {
    return m_outageSince ? aNow : m_longOutageEnded.value_or(aNow);
  }

private:
  Millis m_shortestLapse;
  TimePoint m_servedAt{};
  std::optional<TimePoint> m_outageSince;
  /** When the last outage ended in which entries may have lapsed. */
  std::optional<TimePoint> m_longOutageEnded;
};

} // namespace sapphirehook

#endif
