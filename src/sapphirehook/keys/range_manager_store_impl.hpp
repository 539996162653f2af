#ifndef SAPPHIREHOOK_KEYS_RANGE_MANAGER_STORE_IMPL_HPP
#define SAPPHIREHOOK_KEYS_RANGE_MANAGER_STORE_IMPL_HPP

#include "sapphirehook/keys/range_manager.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

// Storing of assignments.

namespace sapphirehook {

template<typename Rules>
bool
BasicRangeManager<Rules>::HasToStore() const
{
  return std::any_of(m_ranges.begin(), m_ranges.end(), [](const auto& aOne) {
    return aOne.second.m_phase == Phase::ToStore;
  });
}

template<typename Rules>
auto
BasicRangeManager<Rules>::BeginStore() -> std::vector<StoreBlock>
{
  std::set<unsigned> blocks;
  m_keysCounted = false;
  for (auto& [first, range] : m_ranges) {
    if (range.m_phase != Phase::ToStore) {
      continue;
    }
    const auto* target = Endpoint(range.m_target);
    if (target == nullptr || !target->m_usable) {
      const auto* other = ChooseTarget(range);
      if (other == nullptr) {
        continue;
      }
      range.m_target = other->m_incarnation;
    }
    range.m_phase = Phase::Storing;
    range.m_fence = m_nextFence++;
    blocks.insert(first / kBlockKeys);
  }
  std::vector<StoreBlock> stored;
  for (const unsigned block : blocks) {
    AppendBlock(stored, block);
  }
  return stored;
}

/** Appends all assignments of a block. A range without a holder has none. */
template<typename Rules>
void
BasicRangeManager<Rules>::AppendBlock(std::vector<StoreBlock>& aBlocks,
                                      unsigned aBlock) const
{
  StoreBlock& one = aBlocks.emplace_back();
  one.m_block = aBlock;
  const auto begin =
    m_ranges.lower_bound(static_cast<Key>(aBlock * kBlockKeys));
  for (auto at = begin;
       at != m_ranges.end() && at->first / kBlockKeys == aBlock;
       ++at) {
    const auto& range = at->second;
    const auto& owner =
      range.m_phase == Phase::Storing ? range.m_target : range.m_owner;
    if (!owner.m_name.empty()) {
      one.m_assignments.push_back({ range.m_range, owner, range.m_fence });
    }
  }
}

template<typename Rules>
auto
BasicRangeManager<Rules>::AllBlocks() const -> std::vector<StoreBlock>
{
  std::vector<StoreBlock> all;
  for (unsigned block = 0; block < kBlocks; ++block) {
    AppendBlock(all, block);
  }
  return all;
}

template<typename Rules>
bool
BasicRangeManager<Rules>::HasUnknownHolders(TimePoint aNow) const
{
  return std::any_of(m_ranges.begin(), m_ranges.end(), [&](const auto& aOne) {
    return IsHolderUnknown(aNow, aOne.second);
  });
}

template<typename Rules>
void
BasicRangeManager<Rules>::OnStored(TimePoint aNow)
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
    range.m_unansweredExpiry = {};
    range.m_latestExpiry = {};
    range.m_earlierExpiry = {};
    range.m_expectedExpiry = {};
    range.m_dueAt = aNow;
    range.m_granted = false;
    range.m_holderUnknown = false;
    m_changed.insert(first);
    Publish(range);
  }
}

} // namespace sapphirehook

#endif
