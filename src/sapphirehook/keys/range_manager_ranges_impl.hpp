#ifndef SAPPHIREHOOK_KEYS_RANGE_MANAGER_RANGES_IMPL_HPP
#define SAPPHIREHOOK_KEYS_RANGE_MANAGER_RANGES_IMPL_HPP

#include "sapphirehook/keys/range_manager.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

// Splitting, merging and moving of ranges, and the choice of their holders.

namespace sapphirehook {

namespace internal {

/** Lower bound of a capacity that is used as a divisor. */
inline constexpr double kMinCapacity = 1e-6;

} // namespace internal

template<typename Rules>
void
BasicRangeManager<Rules>::CoverAll(unsigned aRanges)
{
  const std::uint32_t size =
    std::clamp<std::uint32_t>(kKeyCount / aRanges, 1, kBlockKeys);
  for (std::uint32_t first = 0; first < kKeyCount;) {
    const auto after = m_ranges.lower_bound(static_cast<Key>(first));
    const std::uint32_t limit =
      after == m_ranges.end() ? kKeyCount : std::uint32_t{ after->first };
    if (limit == first) {
      first = std::uint32_t{ after->second.m_range.m_last } + 1;
      continue;
    }
    // A range lies within one block, so that storing the block stores the whole
    // range.
    const std::uint32_t blockEnd = (first / kBlockKeys + 1) * kBlockKeys;
    const std::uint32_t end =
      std::min({ limit, (first / size + 1) * size, blockEnd });
    Range range;
    range.m_range = { static_cast<Key>(first), static_cast<Key>(end - 1) };
    range.m_holderUnknown = m_unknownBlocks.contains(first / kBlockKeys);
    range.m_earlierExpiry =
      range.m_holderUnknown ? m_previousGrantsExpiry : TimePoint{};
    m_ranges.emplace(range.m_range.m_first, range);
    first = end;
  }
}

template<typename Rules>
void
BasicRangeManager<Rules>::CountKeys()
{
  if (std::exchange(m_keysCounted, true)) {
    return;
  }
  m_keyCounts.clear();
  for (const auto& [first, range] : m_ranges) {
    const auto& holder =
      range.m_phase == Phase::Held ? range.m_owner : range.m_target;
    m_keyCounts[holder] += range.m_range.Size();
  }
}

template<typename Rules>
const RangeManagerEndpoint*
BasicRangeManager<Rules>::ChooseTarget(const Range& aRange)
{
  CountKeys();
  const RangeManagerEndpoint* best = nullptr;
  double bestLoad = 0.0;
  for (const auto& [incarnation, endpoint] : m_endpoints) {
    if (!endpoint.m_usable || endpoint.m_unresponsive) {
      continue;
    }
    if (aRange.m_holderUnknown && incarnation == aRange.m_preferred) {
      best = &endpoint; // it may still have the data of its former keys
      break;
    }
    const double load = m_keyCounts[incarnation] /
                        std::max(endpoint.m_capacity, internal::kMinCapacity);
    if (best == nullptr || load < bestLoad) {
      best = &endpoint;
      bestLoad = load;
    }
  }
  if (best != nullptr) {
    m_keyCounts[best->m_incarnation] += aRange.m_range.Size();
  }
  return best;
}

template<typename Rules>
void
BasicRangeManager<Rules>::SplitBefore(Key aKey)
{
  auto after = m_ranges.upper_bound(aKey);
  if (after == m_ranges.begin()) {
    return;
  }
  auto& [first, range] = *std::prev(after);
  if (first == aKey || !range.m_range.Contains(aKey) ||
      range.m_phase != Phase::Held) {
    return;
  }
  // Both parts keep the lease, and the renewal that is in flight.
  Range upper = range;
  upper.m_range.m_first = aKey;
  range.m_range.m_last = static_cast<Key>(aKey - 1);
  m_ranges.emplace(aKey, std::move(upper));
}

/** Splits the range of a lost endpoint at fixed keys, so that its keys go to
    several others. */
template<typename Rules>
void
BasicRangeManager<Rules>::SplitForRedistribution(KeyRange aRange)
{
  const std::uint32_t begin = aRange.m_first / m_redistributionKeys + 1;
  for (std::uint32_t key = begin * m_redistributionKeys; key <= aRange.m_last;
       key += m_redistributionKeys) {
    SplitBefore(static_cast<Key>(key));
  }
}

template<typename Rules>
bool
BasicRangeManager<Rules>::CanMerge(TimePoint aNow,
                                   const Range& aLower,
                                   const Range& aUpper) const
{
  const auto isIdle = [&](const Range& aRange) {
    return aRange.m_phase == Phase::Held && aRange.m_granted &&
           (!Rules::kMergeIdleOnly ||
            (aRange.m_grantId == 0 && !MayApplyLate(aNow, aRange))) &&
           aRange.m_handover.empty() && !aRange.m_needsFence;
  };
  return aLower.m_owner == aUpper.m_owner && isIdle(aLower) && isIdle(aUpper) &&
         !EvacuateBy(aLower) &&
         aLower.m_range.m_first / kBlockKeys ==
           aUpper.m_range.m_last / kBlockKeys;
}

template<typename Rules>
void
BasicRangeManager<Rules>::Merge(Range& aLower, const Range& aUpper)
{
  aLower.m_range.m_last = aUpper.m_range.m_last;
  aLower.m_fence = std::max(aLower.m_fence, aUpper.m_fence);
  aLower.m_answeredFence =
    std::min(aLower.m_answeredFence, aUpper.m_answeredFence);
  aLower.m_unansweredFence =
    std::max(aLower.m_unansweredFence, aUpper.m_unansweredFence);
  aLower.m_unansweredExpiry =
    std::max(aLower.m_unansweredExpiry, aUpper.m_unansweredExpiry);
  aLower.m_latestExpiry =
    std::max(aLower.m_latestExpiry, aUpper.m_latestExpiry);
  aLower.m_earlierExpiry =
    std::max(aLower.m_earlierExpiry, aUpper.m_earlierExpiry);
  aLower.m_expectedExpiry =
    std::min(aLower.m_expectedExpiry, aUpper.m_expectedExpiry);
  aLower.m_dueAt = std::min(aLower.m_dueAt, aUpper.m_dueAt);
  aLower.m_confirmAfter =
    std::max(aLower.m_confirmAfter, aUpper.m_confirmAfter);
}

/** Merges adjacent ranges of one endpoint, so that one command renews both. The
    merged range gets a new fence with its next renewal. */
template<typename Rules>
void
BasicRangeManager<Rules>::MergeNeighbours(TimePoint aNow)
{
  for (auto lower = m_ranges.begin(); lower != m_ranges.end();) {
    auto upper = std::next(lower);
    bool merged = false;
    while (upper != m_ranges.end() &&
           CanMerge(aNow, lower->second, upper->second)) {
      Merge(lower->second, upper->second);
      upper = m_ranges.erase(upper);
      merged = true;
    }
    lower->second.m_needsFence = lower->second.m_needsFence || merged;
    lower = upper;
  }
}

template<typename Rules>
void
BasicRangeManager<Rules>::Move(TimePoint aNow,
                               KeyRange aRange,
                               const std::string& aTo)
{
  const auto target =
    std::find_if(m_endpoints.begin(), m_endpoints.end(), [&](const auto& aOne) {
      const auto& endpoint = aOne.second;
      return endpoint.m_incarnation.m_name == aTo && endpoint.m_usable &&
             !endpoint.m_unresponsive;
    });
  if (target == m_endpoints.end()) {
    return;
  }
  SplitBefore(aRange.m_first);
  if (aRange.m_last + 1U < kKeyCount) {
    SplitBefore(static_cast<Key>(aRange.m_last + 1));
  }
  for (auto at = m_ranges.lower_bound(aRange.m_first);
       at != m_ranges.end() && at->first <= aRange.m_last;
       ++at) {
    auto& range = at->second;
    if (range.m_phase == Phase::Held && range.m_owner != target->first &&
        !IsHolderUnknown(aNow, range) &&
        range.m_range.m_last <= aRange.m_last) {
      BeginMove(aNow, range, target->first);
    }
  }
}

template<typename Rules>
void
BasicRangeManager<Rules>::BeginMove(TimePoint aNow,
                                    Range& aRange,
                                    const EndpointIncarnation& aTo)
{
  aRange.m_target = aTo;
  aRange.m_phase = Phase::Releasing;
  aRange.m_dueAt = aNow;
  aRange.m_granted = false;
  m_changed.insert(aRange.m_range.m_first);
  Publish(aRange);
}

} // namespace sapphirehook

#endif
