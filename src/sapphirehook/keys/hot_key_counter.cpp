#include "sapphirehook/keys/hot_key_counter.hpp"

#include <algorithm>
#include <utility>

namespace sapphirehook {

void
HotKeyCounter::Count(Key aKey)
{
  const auto found =
    std::find_if(m_counts.begin(), m_counts.end(), [&](const auto& aOne) {
      return aOne.m_key == aKey;
    });
  if (found != m_counts.end()) {
    ++found->m_count;
    return;
  }
  if (m_counts.size() < m_counters) {
    m_counts.push_back({ aKey, 1 });
    return;
  }
  // The new key replaces the key with the lowest count and inherits its count.
  auto& lowest = *std::min_element(m_counts.begin(),
                                   m_counts.end(),
                                   [](const auto& aLeft, const auto& aRight) {
                                     return aLeft.m_count < aRight.m_count;
                                   });
  lowest.m_key = aKey;
  ++lowest.m_count;
}

std::vector<KeyCount>
HotKeyCounter::Take()
{
  return std::exchange(m_counts, {});
}

} // namespace sapphirehook
