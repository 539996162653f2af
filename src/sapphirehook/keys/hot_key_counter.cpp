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
  // The key with the lowest count gives its counter, and its count, away.
  auto& least = *std::min_element(m_counts.begin(),
                                  m_counts.end(),
                                  [](const auto& aLeft, const auto& aRight) {
                                    return aLeft.m_count < aRight.m_count;
                                  });
  least.m_key = aKey;
  ++least.m_count;
}

std::vector<KeyCount>
HotKeyCounter::Take()
{
  return std::exchange(m_counts, {});
}

} // namespace sapphirehook
