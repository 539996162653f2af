#ifndef SAPPHIREHOOK_KEYS_RANGE_KEEPER_IMPL_HPP
#define SAPPHIREHOOK_KEYS_RANGE_KEEPER_IMPL_HPP

#include "sapphirehook/keys/range_keeper.hpp"
#include "sapphirehook/keys/range_keeper_ranges_impl.hpp"

#include <algorithm>
#include <bit>
#include <utility>

// How a keeper's ranges are granted, released and stored.

namespace sapphirehook {

namespace internal {

/** Parts into which the keys of a lost endpoint with a mean share are cut, so
    that they go to several others. */
inline constexpr std::uint32_t kDealtParts = 6;

} // namespace internal

template<typename Rules>
BasicRangeKeeper<Rules>::BasicRangeKeeper(KeeperTimes aTimes,
                                          Fence aFirstFence,
                                          TimePoint aForeignEnds)
  : m_times(aTimes)
  , m_nextFence(aFirstFence)
  , m_foreignEnds(aForeignEnds)
{
}

template<typename Rules>
void
BasicRangeKeeper<Rules>::Load(const RangeAssignment& aAssignment,
                              TimePoint aPresumedUntil)
{
  Range range;
  range.m_range = aAssignment.m_range;
  range.m_owner = aAssignment.m_owner;
  range.m_fence = aAssignment.m_fence;
  range.m_holdEnds = m_foreignEnds;
  range.m_unansweredEnds = m_foreignEnds;
  range.m_unansweredFence = aAssignment.m_fence;
  range.m_granted = true;
  range.m_heldUntil = aPresumedUntil;
  m_ranges.insert_or_assign(range.m_range.m_first, range);
}

template<typename Rules>
void
BasicRangeKeeper<Rules>::SetForeignEnds(TimePoint aNow, TimePoint aEnds)
{
  if (aEnds >= m_foreignEnds) {
    return;
  }
  m_foreignEnds = aEnds;
  // Own grants last no longer than this; a range may have both.
  const TimePoint ends =
    std::max(aEnds, aNow + WithDrift(m_times.m_hold, m_times.m_driftPpm));
  for (auto& [first, range] : m_ranges) {
    range.m_holdEnds = std::min(range.m_holdEnds, ends);
    range.m_unansweredEnds = std::min(range.m_unansweredEnds, ends);
  }
}

template<typename Rules>
void
BasicRangeKeeper<Rules>::SetEndpoints(
  const std::vector<KeeperEndpoint>& aEndpoints)
{
  m_endpoints.clear();
  std::uint32_t usable = 0;
  for (const auto& endpoint : aEndpoints) {
    m_endpoints.emplace(endpoint.m_life, endpoint);
    usable += endpoint.m_usable ? 1 : 0;
  }
  const auto parts = std::max<std::uint32_t>(usable, 1) * internal::kDealtParts;
  m_dealtKeys = std::bit_floor(std::max<std::uint32_t>(kKeyCount / parts, 1));
}

template<typename Rules>
const KeeperEndpoint*
BasicRangeKeeper<Rules>::Endpoint(const EndpointLife& aLife) const
{
  const auto found = m_endpoints.find(aLife);
  return found == m_endpoints.end() ? nullptr : &found->second;
}

template<typename Rules>
bool
BasicRangeKeeper<Rules>::OwnerStays(const Range& aRange) const
{
  const auto* owner = Endpoint(aRange.m_owner);
  return owner != nullptr && owner->m_usable && !owner->m_silent &&
         !owner->m_dead;
}

template<typename Rules>
bool
BasicRangeKeeper<Rules>::OwnerIsDead(const Range& aRange) const
{
  if (aRange.m_owner.m_name.empty()) {
    return true; // no endpoint has ever held it
  }
  if constexpr (!Rules::kFollowOwner) {
    const auto later = m_endpoints.upper_bound(aRange.m_owner);
    if (later != m_endpoints.end() &&
        later->first.m_name == aRange.m_owner.m_name) {
      return true;
    }
  }
  const auto* owner = Endpoint(aRange.m_owner);
  return owner != nullptr && owner->m_dead;
}

/** Follows an owner into its next life. That life may hold the range already,
    by a grant that was meant for the one before and found it at the same
    address, so the range stays with it and is released like any other. */
template<typename Rules>
void
BasicRangeKeeper<Rules>::FollowOwner(Range& aRange)
{
  if constexpr (Rules::kFollowOwner) {
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
BasicRangeKeeper<Rules>::MayApplyLate(TimePoint aNow, const Range& aRange) const
{
  return aRange.m_unansweredFence >= aRange.m_answeredFence &&
         aNow < aRange.m_unansweredEnds;
}

template<typename Rules>
void
BasicRangeKeeper<Rules>::OnNewConnection(TimePoint aNow,
                                         const std::string& aEndpoint)
{
  if constexpr (Rules::kFenceNewConnection) {
    for (auto& [first, range] : m_ranges) {
      if (range.m_owner.m_name == aEndpoint) {
        range.m_needsFence = true;
        range.m_proofAfter = aNow;
        m_changed.insert(first);
      }
    }
  }
}

template<typename Rules>
void
BasicRangeKeeper<Rules>::SetGranted(Range& aRange, bool aGranted)
{
  if (aRange.m_granted != aGranted) {
    aRange.m_granted = aGranted;
    Publish(aRange);
  }
}

template<typename Rules>
void
BasicRangeKeeper<Rules>::Publish(const Range& aRange)
{
  const auto& endpoint =
    aRange.m_phase == Phase::Held ? aRange.m_owner : aRange.m_target;
  m_toPublish.push_back({ aRange.m_range, endpoint.m_name, aRange.m_granted });
}

template<typename Rules>
template<typename Function>
void
BasicRangeKeeper<Rules>::ForOrdered(std::uint64_t aId, Function aFunction)
{
  const auto ordered = m_ordered.find(aId);
  if (ordered == m_ordered.end()) {
    return;
  }
  const KeyRange keys = ordered->second;
  m_ordered.erase(ordered);
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
BasicRangeKeeper<Rules>::OnGrantEnd(TimePoint aNow,
                                    std::uint64_t aId,
                                    const OrderAnswer& aAnswer)
{
  const TimePoint ends = aNow + WithDrift(m_times.m_hold, m_times.m_driftPpm);
  ForOrdered(aId, [&](Range& aRange) {
    aRange.m_grantId = 0;
    switch (aAnswer.m_end) {
      case OrderEnd::Done:
        aRange.m_answeredFence =
          std::max(aRange.m_answeredFence, aRange.m_fence);
        aRange.m_holdEnds = std::max(aRange.m_holdEnds, ends);
        aRange.m_heldUntil = aNow + m_times.m_hold;
        aRange.m_dueAt = aNow + m_times.m_renewEvery;
        aRange.m_handover.clear();
        if (aRange.m_phase == Phase::Held) {
          SetGranted(aRange, true);
        } else {
          aRange.m_dueAt = aNow;
        }
        break;
      case OrderEnd::NoAnswer:
        aRange.m_holdEnds = std::max(aRange.m_holdEnds, ends);
        aRange.m_unansweredFence =
          std::max(aRange.m_unansweredFence, aRange.m_fence);
        aRange.m_unansweredEnds = std::max(aRange.m_unansweredEnds, ends);
        aRange.m_dueAt = aNow;
        break;
      case OrderEnd::Fenced:
        aRange.m_needsFence = true;
        aRange.m_dueAt = aNow + m_times.m_retryAfter;
        break;
      case OrderEnd::Rejected:
      case OrderEnd::Refused:
      case OrderEnd::NotSent:
        aRange.m_dueAt = aNow + m_times.m_retryAfter;
        break;
    }
  });
}

template<typename Rules>
void
BasicRangeKeeper<Rules>::OnReleaseEnd(TimePoint aNow,
                                      std::uint64_t aId,
                                      const OrderAnswer& aAnswer)
{
  ForOrdered(aId, [&](Range& aRange) {
    aRange.m_releaseId = 0;
    if (aAnswer.m_end == OrderEnd::Done) {
      aRange.m_handover = aAnswer.m_handover;
      aRange.m_phase = Phase::ToStore;
    } else {
      aRange.m_dueAt = aNow + m_times.m_retryAfter;
    }
  });
}

template<typename Rules>
KeeperActions
BasicRangeKeeper<Rules>::Tick(TimePoint aNow)
{
  KeeperActions actions;
  m_keysCounted = false;
  m_changed.clear();
  m_moreGrants = false;
  JoinNeighbours(aNow);
  // Begins where the last round ran out of grants, so that all get their turn.
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
KeeperActions
BasicRangeKeeper<Rules>::TickChanged(TimePoint aNow)
{
  KeeperActions actions;
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
BasicRangeKeeper<Rules>::TickRange(TimePoint aNow,
                                   Range& aRange,
                                   KeeperActions& aActions)
{
  if (aRange.m_phase == Phase::Held || aRange.m_phase == Phase::Releasing) {
    FollowOwner(aRange);
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
BasicRangeKeeper<Rules>::TickHeld(TimePoint aNow,
                                  Range& aRange,
                                  KeeperActions& aActions)
{
  if (aRange.m_granted && aNow >= aRange.m_heldUntil) {
    SetGranted(aRange, false);
  }
  if (!OwnerStays(aRange)) {
    CutForDealing(aRange.m_range);
    const auto* target = ChooseTarget(aRange);
    if (target != nullptr) {
      BeginMove(aNow, aRange, target->m_life);
    }
    return;
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
BasicRangeKeeper<Rules>::SendGrant(Range& aRange, KeeperActions& aActions)
{
  if (aRange.m_needsFence) {
    aRange.m_fence = m_nextFence++;
    aRange.m_needsFence = false;
  }
  aRange.m_grantId = m_nextId++;
  m_ordered.emplace(aRange.m_grantId, aRange.m_range);
  aActions.m_grants.push_back(
    { aRange.m_grantId,
      aRange.m_owner.m_name,
      { aRange.m_range, aRange.m_fence, m_times.m_hold, aRange.m_handover } });
}

template<typename Rules>
void
BasicRangeKeeper<Rules>::TickReleasing(TimePoint aNow,
                                       Range& aRange,
                                       KeeperActions& aActions)
{
  const bool dead = OwnerIsDead(aRange);
  if (Rules::kReleaseAlone && aRange.m_grantId != 0 && !dead) {
    return;
  }
  const bool ranOut = aNow >= aRange.m_holdEnds || !Rules::kWaitForHold;
  if (dead || ranOut) {
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
  m_ordered.emplace(aRange.m_releaseId, aRange.m_range);
  aActions.m_releases.push_back({ aRange.m_releaseId,
                                  aRange.m_owner.m_name,
                                  { aRange.m_range, aRange.m_fence } });
}

template<typename Rules>
bool
BasicRangeKeeper<Rules>::HasToStore() const
{
  return std::any_of(m_ranges.begin(), m_ranges.end(), [](const auto& aOne) {
    return aOne.second.m_phase == Phase::ToStore;
  });
}

template<typename Rules>
auto
BasicRangeKeeper<Rules>::BeginStore() -> std::vector<StoreBlock>
{
  std::set<unsigned> blocks;
  m_keysCounted = false;
  for (auto& [first, range] : m_ranges) {
    if (range.m_phase != Phase::ToStore) {
      continue;
    }
    const auto* target = Endpoint(range.m_target);
    if (target == nullptr || !target->m_usable || target->m_dead) {
      const auto* other = ChooseTarget(range);
      if (other == nullptr) {
        continue;
      }
      range.m_target = other->m_life;
    }
    range.m_phase = Phase::Storing;
    range.m_fence = m_nextFence++;
    blocks.insert(first / kBlockKeys);
  }
  std::vector<StoreBlock> stored;
  for (const unsigned block : blocks) {
    StoreBlock& one = stored.emplace_back();
    one.m_block = block;
    const auto begin =
      m_ranges.lower_bound(static_cast<Key>(block * kBlockKeys));
    for (auto at = begin;
         at != m_ranges.end() && at->first / kBlockKeys == block;
         ++at) {
      const auto& range = at->second;
      const auto& owner =
        range.m_phase == Phase::Storing ? range.m_target : range.m_owner;
      if (!owner.m_name.empty()) {
        one.m_assignments.push_back({ range.m_range, owner, range.m_fence });
      }
    }
  }
  return stored;
}

template<typename Rules>
void
BasicRangeKeeper<Rules>::OnStored(TimePoint aNow)
{
  for (auto& [first, range] : m_ranges) {
    if (range.m_phase != Phase::Storing) {
      continue;
    }
    range.m_phase = Phase::Held;
    range.m_owner = std::exchange(range.m_target, {});
    range.m_needsFence = false;
    range.m_answeredFence = 0;
    range.m_unansweredFence = 0;
    range.m_unansweredEnds = {};
    range.m_holdEnds = {};
    range.m_heldUntil = {};
    range.m_dueAt = aNow;
    range.m_granted = false;
    m_changed.insert(first);
    Publish(range);
  }
}

template<typename Rules>
auto
BasicRangeKeeper<Rules>::Ranges() const -> std::vector<Held>
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
BasicRangeKeeper<Rules>::Routes() const
{
  std::vector<RangeRoute> all;
  all.reserve(m_ranges.size());
  for (const auto& [first, range] : m_ranges) {
    const auto& endpoint =
      range.m_phase == Phase::Held ? range.m_owner : range.m_target;
    all.push_back({ range.m_range, endpoint.m_name, range.m_granted });
  }
  return all;
}

template<typename Rules>
TimePoint
BasicRangeKeeper<Rules>::AllGrantsEnd(TimePoint aNow) const
{
  return aNow + m_times.m_orderLasts +
         WithDrift(m_times.m_hold, m_times.m_driftPpm);
}

} // namespace sapphirehook

#endif
