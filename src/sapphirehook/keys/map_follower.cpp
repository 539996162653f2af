#include "sapphirehook/keys/map_follower.hpp"

#include <algorithm>
#include <utility>

namespace sapphirehook {

void
MapFollower::OnDigests(const std::vector<BlockDigest>& aTold,
                       const RangeMap& aOwn)
{
  m_stale.clear();
  const auto blocks = std::min<std::size_t>(aTold.size(), kBlocks);
  for (unsigned block = 0; block < blocks; ++block) {
    if (aTold[block] != aOwn.Digest(block)) {
      m_stale.insert(block);
    }
  }
}

std::vector<unsigned>
MapFollower::TakeDue(TimePoint aNow)
{
  if ((m_stale.empty() && m_doubtful.empty()) || aNow < m_askAgainAt) {
    return {};
  }
  m_askAgainAt = aNow + m_pause;
  m_pause = std::min(m_pause * 2, kLongestPause);
  auto due = m_stale;
  due.merge(std::exchange(m_doubtful, {}));
  return { due.begin(), due.end() };
}

} // namespace sapphirehook
