#ifndef SAPPHIREHOOK_KEYS_RANGE_MANAGER_IMPL_HPP
#define SAPPHIREHOOK_KEYS_RANGE_MANAGER_IMPL_HPP

#include "sapphirehook/keys/range_manager.hpp"
#include "sapphirehook/keys/range_manager_evacuation_impl.hpp"
#include "sapphirehook/keys/range_manager_ranges_impl.hpp"
#include "sapphirehook/keys/range_manager_store_impl.hpp"

#include <algorithm>
#include <bit>
#include <utility>

// Granting and releasing of ranges.

namespace sapphirehook {

namespace internal {

/** Number of parts into which the keys of a lost endpoint with a mean share are
    split, so that they go to several others. */
inline constexpr std::uint32_t kRedistributionParts = 6;

} // namespace internal

template<typename Rules>
BasicRangeManager<Rules>::BasicRangeManager(RangeManagerTimes aTimes,
                                            Fence aFirstFence,
                                            TimePoint aPreviousGrantsExpiry)
  : m_times(aTimes)
  , m_nextFence(aFirstFence)
  , m_previousGrantsExpiry(aPreviousGrantsExpiry)
{
}

template<typename Rules>
void
BasicRangeManager<Rules>::Load(const RangeAssignment& aAssignment,
                               TimePoint aPresumedUntil)
{
  Range range;
  range.m_range = aAssignment.m_range;
  range.m_owner = aAssignment.m_owner;
  range.m_fence = aAssignment.m_fence;
  range.m_earlierExpiry = m_previousGrantsExpiry;
  range.m_granted = true;
  range.m_expectedExpiry = aPresumedUntil;
  if (m_unknownBlocks.contains(range.m_range.m_first / kBlockKeys)) {
    range.m_holderUnknown = true;
    range.m_preferred = std::exchange(range.m_owner, {});
  }
  m_ranges.insert_or_assign(range.m_range.m_first, range);
}

template<typename Rules>
void
BasicRangeManager<Rules>::SetPreviousGrantsExpiry(TimePoint aEnds)
{
  if (aEnds >= m_previousGrantsExpiry) {
    return;
  }
  m_previousGrantsExpiry = aEnds;
  for (auto& [first, range] : m_ranges) {
    range.m_earlierExpiry = std::min(range.m_earlierExpiry, aEnds);
  }
}

template<typename Rules>
void
BasicRangeManager<Rules>::SetEndpoints(
  const std::vector<RangeManagerEndpoint>& aEndpoints)
{
  m_endpoints.clear();
  std::uint32_t usable = 0;
  m_hasEvacuations = false;
  for (const auto& endpoint : aEndpoints) {
    m_endpoints.emplace(endpoint.m_incarnation, endpoint);
    usable += endpoint.m_usable ? 1 : 0;
    m_hasEvacuations = m_hasEvacuations || endpoint.m_evacuateBy;
  }
  const auto parts =
    std::max<std::uint32_t>(usable, 1) * internal::kRedistributionParts;
  m_redistributionKeys =
    std::bit_floor(std::max<std::uint32_t>(kKeyCount / parts, 1));
}

template<typename Rules>
const RangeManagerEndpoint*
BasicRangeManager<Rules>::Endpoint(
  const EndpointIncarnation& aIncarnation) const
{
  const auto found = m_endpoints.find(aIncarnation);
  return found == m_endpoints.end() ? nullptr : &found->second;
}

template<typename Rules>
bool
BasicRangeManager<Rules>::OwnerIsUsable(const Range& aRange) const
{
  const auto* owner = Endpoint(aRange.m_owner);
  return owner != nullptr && owner->m_usable && !owner->m_unresponsive;
}

/** Whether an endpoint may hold the range. No message from outside an endpoint
    proves its end: a cut refuses or resets connections like an ended process.
 */
template<typename Rules>
bool
BasicRangeManager<Rules>::MayHaveHolder(const Range& aRange) const
{
  if (aRange.m_owner.m_name.empty()) {
    return false; // no endpoint has ever held the range
  }
  if constexpr (!Rules::kTrackOwnerRestart) {
    const auto later = m_endpoints.upper_bound(aRange.m_owner);
    if (later != m_endpoints.end() &&
        later->first.m_name == aRange.m_owner.m_name) {
      return false;
    }
  }
  return true;
}

/** Assigns a range to the next incarnation of its owner if the owner has
    restarted. That incarnation may already hold the range, by a grant that was
    sent to the earlier incarnation at the same address. The range therefore
    stays with it and is released like any other. */
template<typename Rules>
void
BasicRangeManager<Rules>::TrackOwnerRestart(Range& aRange)
{
  if constexpr (Rules::kTrackOwnerRestart) {
    const auto later = m_endpoints.upper_bound(aRange.m_owner);
    if (later != m_endpoints.end() &&
        later->first.m_name == aRange.m_owner.m_name) {
      aRange.m_owner = later->first;
      aRange.m_needsFence = true;
      aRange.m_dueAt = {};
      SetGranted(aRange, false);
    }
  }
}

template<typename Rules>
bool
BasicRangeManager<Rules>::MayApplyLate(TimePoint aNow,
                                       const Range& aRange) const
{
  return aNow < aRange.m_earlierExpiry ||
         (aRange.m_unansweredFence >= aRange.m_answeredFence &&
          aNow < aRange.m_unansweredExpiry);
}

template<typename Rules>
void
BasicRangeManager<Rules>::OnNewConnection(TimePoint aNow,
                                          const std::string& aEndpoint)
{
  if constexpr (Rules::kNewFenceAfterReconnect) {
    for (auto& [first, range] : m_ranges) {
      if (range.m_owner.m_name == aEndpoint) {
        range.m_needsFence = true;
        range.m_confirmAfter = aNow;
        m_changed.insert(first);
      }
    }
  }
}

template<typename Rules>
void
BasicRangeManager<Rules>::SetGranted(Range& aRange, bool aGranted)
{
  if (aRange.m_granted != aGranted) {
    aRange.m_granted = aGranted;
    Publish(aRange);
  }
}

template<typename Rules>
void
BasicRangeManager<Rules>::Publish(const Range& aRange)
{
  m_toPublish.push_back(RouteOf(aRange));
}

template<typename Rules>
RangeRoute
BasicRangeManager<Rules>::RouteOf(const Range& aRange)
{
  const auto& holder =
    aRange.m_holderUnknown ? aRange.m_preferred : aRange.m_owner;
  const auto& endpoint =
    aRange.m_phase == Phase::Held ? holder : aRange.m_target;
  return { aRange.m_range, endpoint.m_name, aRange.m_granted };
}

template<typename Rules>
template<typename Function>
void
BasicRangeManager<Rules>::ForCommandRanges(std::uint64_t aId,
                                           Function aFunction)
{
  const auto command = m_commandKeys.find(aId);
  if (command == m_commandKeys.end()) {
    return;
  }
  const KeyRange keys = command->second;
  m_commandKeys.erase(command);
  for (auto at = m_ranges.lower_bound(keys.m_first);
       at != m_ranges.end() && at->first <= keys.m_last;
       ++at) {
    if (at->second.m_grantId == aId || at->second.m_releaseId == aId) {
      m_changed.insert(at->first);
      aFunction(at->second);
    }
  }
}

template<typename Rules>
void
BasicRangeManager<Rules>::OnGrantEnd(TimePoint aNow,
                                     std::uint64_t aId,
                                     const CommandResult& aAnswer)
{
  const TimePoint ends =
    aNow + WithDrift(m_times.m_leaseDuration, m_times.m_driftPpm);
  ForCommandRanges(aId, [&](Range& aRange) {
    aRange.m_grantId = 0;
    // Only a command that was not sent certainly has no effect.
    const bool isSent = aAnswer.m_end != CommandOutcome::Refused &&
                        aAnswer.m_end != CommandOutcome::NotSent;
    const bool isUncertain = aAnswer.m_end == CommandOutcome::Fenced ||
                             aAnswer.m_end == CommandOutcome::Unclear;
    if (isSent && (Rules::kAnyAnswerKeepsLease || !isUncertain)) {
      aRange.m_latestExpiry = std::max(aRange.m_latestExpiry, ends);
    }
    switch (aAnswer.m_end) {
      case CommandOutcome::Done:
        aRange.m_answeredFence =
          std::max(aRange.m_answeredFence, aRange.m_fence);
        aRange.m_earlierExpiry = {};
        aRange.m_expectedExpiry = aNow + m_times.m_leaseDuration;
        aRange.m_dueAt = aNow + m_times.m_renewEvery;
        aRange.m_handover.clear();
        if (aRange.m_phase == Phase::Held) {
          SetGranted(aRange, true);
        } else {
          aRange.m_dueAt = aNow;
        }
        break;
      case CommandOutcome::NoAnswer:
        aRange.m_unansweredFence =
          std::max(aRange.m_unansweredFence, aRange.m_fence);
        aRange.m_unansweredExpiry = std::max(aRange.m_unansweredExpiry, ends);
        aRange.m_dueAt = aNow;
        break;
      case CommandOutcome::Fenced:
        aRange.m_needsFence = true;
        aRange.m_dueAt = aNow + m_times.m_retryAfter;
        break;
      case CommandOutcome::Refused:
        if constexpr (!Rules::kRefusalKeepsLease) {
          aRange.m_latestExpiry = aNow;
          aRange.m_earlierExpiry = aNow;
        }
        [[fallthrough]];
      case CommandOutcome::Unclear:
      case CommandOutcome::NotSent:
        aRange.m_dueAt = aNow + m_times.m_retryAfter;
        break;
    }
  });
}

template<typename Rules>
void
BasicRangeManager<Rules>::OnReleaseEnd(TimePoint aNow,
                                       std::uint64_t aId,
                                       const CommandResult& aAnswer)
{
  ForCommandRanges(aId, [&](Range& aRange) {
    aRange.m_releaseId = 0;
    if (aAnswer.m_end == CommandOutcome::Done) {
      aRange.m_handover = aAnswer.m_handover;
      aRange.m_phase = Phase::ToStore;
    } else {
      aRange.m_dueAt = aNow + m_times.m_retryAfter;
    }
  });
}

template<typename Rules>
RangeManagerActions
BasicRangeManager<Rules>::Tick(TimePoint aNow)
{
  RangeManagerActions actions;
  m_keysCounted = false;
  m_changed.clear();
  m_moreGrants = false;
  MergeNeighbours(aNow);
  PlanEvacuation(aNow);
  // Begins where the last round reached the limit of grants, so that no range
  // starves.
  const auto begin = m_ranges.lower_bound(m_beginAt);
  for (auto at = begin; at != m_ranges.end(); ++at) {
    TickRange(aNow, at->second, actions);
  }
  for (auto at = m_ranges.begin(); at != begin; ++at) {
    TickRange(aNow, at->second, actions);
  }
  actions.m_routes = std::exchange(m_toPublish, {});
  return actions;
}

template<typename Rules>
RangeManagerActions
BasicRangeManager<Rules>::TickChanged(TimePoint aNow)
{
  RangeManagerActions actions;
  m_keysCounted = false;
  const auto changed = std::exchange(m_changed, {});
  for (const Key first : changed) {
    const auto range = m_ranges.find(first);
    if (range != m_ranges.end()) {
      TickRange(aNow, range->second, actions);
    }
  }
  actions.m_routes = std::exchange(m_toPublish, {});
  return actions;
}

template<typename Rules>
void
BasicRangeManager<Rules>::TickRange(TimePoint aNow,
                                    Range& aRange,
                                    RangeManagerActions& aActions)
{
  if (aRange.m_phase == Phase::Held || aRange.m_phase == Phase::Releasing) {
    TrackOwnerRestart(aRange);
  }
  if (aRange.m_phase == Phase::Held) {
    TickHeld(aNow, aRange, aActions);
  }
  if (aRange.m_phase == Phase::Releasing) {
    TickReleasing(aNow, aRange, aActions);
  }
}

template<typename Rules>
void
BasicRangeManager<Rules>::TickHeld(TimePoint aNow,
                                   Range& aRange,
                                   RangeManagerActions& aActions)
{
  if (aRange.m_granted && aNow >= aRange.m_expectedExpiry) {
    SetGranted(aRange, false);
  }
  if (IsHolderUnknown(aNow, aRange)) {
    return;
  }
  const bool waitsForEvacuation = EvacuateBy(aRange) && m_evacuationMoves == 0;
  if (!OwnerIsUsable(aRange) && !waitsForEvacuation) {
    // A range that nobody has held yet has its initial size.
    if (!aRange.m_owner.m_name.empty() && m_ranges.size() < kMaxSplitRanges) {
      SplitForRedistribution(aRange.m_range);
    }
    const auto* target = ChooseTarget(aRange);
    if (target != nullptr) {
      m_evacuationMoves -= EvacuateBy(aRange) ? 1 : 0;
      BeginMove(aNow, aRange, target->m_incarnation);
      return;
    }
    if (!EvacuateBy(aRange)) {
      return;
    }
  }
  if (aRange.m_grantId == 0 && aNow >= aRange.m_dueAt && MayGrant(aRange)) {
    if (aActions.m_grants.size() < m_times.m_grantsPerRound) {
      SendGrant(aRange, aActions);
    } else if (!std::exchange(m_moreGrants, true)) {
      m_beginAt = aRange.m_range.m_first;
    }
  }
}

template<typename Rules>
void
BasicRangeManager<Rules>::SendGrant(Range& aRange,
                                    RangeManagerActions& aActions)
{
  if (aRange.m_needsFence) {
    aRange.m_fence = m_nextFence++;
    aRange.m_needsFence = false;
  }
  aRange.m_grantId = m_nextId++;
  m_commandKeys.emplace(aRange.m_grantId, aRange.m_range);
  aActions.m_grants.push_back({ aRange.m_grantId,
                                aRange.m_owner.m_name,
                                { aRange.m_range,
                                  aRange.m_fence,
                                  m_times.m_leaseDuration,
                                  aRange.m_handover } });
}

template<typename Rules>
void
BasicRangeManager<Rules>::TickReleasing(TimePoint aNow,
                                        Range& aRange,
                                        RangeManagerActions& aActions)
{
  const bool held = MayHaveHolder(aRange);
  if (Rules::kReleaseAfterRenewal && aRange.m_grantId != 0 && held) {
    return;
  }
  const bool expired =
    aNow >= (Rules::kWaitForOwnAnswer ? LeaseExpiry(aRange)
                                      : aRange.m_latestExpiry) ||
    !Rules::kWaitForLeaseExpiry;
  if (!held || expired) {
    aRange.m_phase = Phase::ToStore;
    aRange.m_grantId = 0;
    aRange.m_releaseId = 0;
    return;
  }
  if (aRange.m_releaseId != 0 || aNow < aRange.m_dueAt) {
    return;
  }
  if (Rules::kFenceBeforeRelease && MayApplyLate(aNow, aRange)) {
    if (MayGrant(aRange)) {
      aRange.m_needsFence = true;
      SendGrant(aRange, aActions);
    }
    return;
  }
  aRange.m_releaseId = m_nextId++;
  m_commandKeys.emplace(aRange.m_releaseId, aRange.m_range);
  aActions.m_releases.push_back({ aRange.m_releaseId,
                                  aRange.m_owner.m_name,
                                  { aRange.m_range, aRange.m_fence } });
}

template<typename Rules>
auto
BasicRangeManager<Rules>::Ranges() const -> std::vector<Held>
{
  std::vector<Held> all;
  all.reserve(m_ranges.size());
  for (const auto& [first, range] : m_ranges) {
    const bool moving = range.m_phase != Phase::Held;
    all.push_back({ range.m_range,
                    moving ? range.m_target.m_name : range.m_owner.m_name,
                    moving });
  }
  return all;
}

template<typename Rules>
std::vector<RangeRoute>
BasicRangeManager<Rules>::Routes() const
{
  std::vector<RangeRoute> all;
  all.reserve(m_ranges.size());
  for (const auto& [first, range] : m_ranges) {
    all.push_back(RouteOf(range));
  }
  return all;
}

template<typename Rules>
TimePoint
BasicRangeManager<Rules>::AllGrantsExpiry(TimePoint aNow) const
{
  return aNow + m_times.m_commandTimeout +
         WithDrift(m_times.m_leaseDuration, m_times.m_driftPpm);
}

} // namespace sapphirehook

#endif
