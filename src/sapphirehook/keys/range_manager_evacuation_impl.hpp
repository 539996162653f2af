#ifndef SAPPHIREHOOK_KEYS_RANGE_MANAGER_EVACUATION_IMPL_HPP
#define SAPPHIREHOOK_KEYS_RANGE_MANAGER_EVACUATION_IMPL_HPP

#include "sapphirehook/keys/range_manager.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

// The order in which ranges move off evacuated endpoints.

namespace sapphirehook {

template<typename Rules>
std::optional<TimePoint>
BasicRangeManager<Rules>::EvacuateBy(const Range& aRange) const
{
  if (!m_hasEvacuations) {
    return std::nullopt;
  }
  const auto* owner = Endpoint(aRange.m_owner);
  return owner == nullptr || owner->m_unresponsive ? std::nullopt
                                                   : owner->m_evacuateBy;
}

template<typename Rules>
std::size_t
BasicRangeManager<Rules>::RangesToEvacuate() const
{
  return static_cast<std::size_t>(
    std::count_if(m_ranges.begin(), m_ranges.end(), [&](const auto& aOne) {
      const auto* owner = Endpoint(aOne.second.m_owner);
      return owner != nullptr && owner->m_evacuateBy &&
             (aOne.second.m_phase == Phase::Held ||
              aOne.second.m_phase == Phase::Releasing);
    }));
}

/** The ranges that wait are divided evenly among the moves that fit into the
    time that is left, so a leader that takes over midway needs no more than the
    ranges and the time. */
template<typename Rules>
void
BasicRangeManager<Rules>::PlanEvacuation(TimePoint aNow)
{
  m_evacuationMoves = 0;
  if (!m_hasEvacuations) {
    return;
  }
  // Splitting first makes the number of ranges final.
  std::vector<KeyRange> toSplit;
  for (const auto& [first, range] : m_ranges) {
    if (range.m_phase == Phase::Held && EvacuateBy(range) &&
        range.m_range.Size() > m_redistributionKeys) {
      toSplit.push_back(range.m_range);
    }
  }
  for (const auto& range : toSplit) {
    if (m_ranges.size() < kMaxSplitRanges) {
      SplitForRedistribution(range);
    }
  }
  std::size_t waiting = 0;
  std::size_t moving = 0;
  TimePoint endsBy = TimePoint::max();
  for (const auto& [first, range] : m_ranges) {
    if (const auto by = EvacuateBy(range)) {
      ++(range.m_phase == Phase::Held ? waiting : moving);
      endsBy = std::min(endsBy, *by);
    }
  }
  if (waiting == 0) {
    return;
  }
  const std::chrono::duration<double> left = endsBy - aNow;
  const std::chrono::duration<double> moveTime = m_times.m_moveTime;
  // The last ranges must begin to move one move's time before the end.
  const double rounds = std::max((left - moveTime) / moveTime, 1.0);
  const auto atATime =
    std::max(static_cast<std::size_t>(
               std::ceil(static_cast<double>(waiting + moving) / rounds)),
             m_times.m_minEvacuationMoves);
  m_evacuationMoves =
    left <= 2 * moveTime ? waiting : atATime - std::min(atATime, moving);
}

} // namespace sapphirehook

#endif
