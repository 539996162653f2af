#include "sapphirehook/keys/map_follower.hpp"

#include <algorithm>
#include <utility>

namespace sapphirehook {

void
MapFollower::OnDigests(const std::vector<BlockDigest>& aLeaderDigests,
                       const RangeMap& aOwn)
{
  m_stale.clear();
  const auto blocks = std::min<std::size_t>(aLeaderDigests.size(), kBlocks);
  for (unsigned block = 0; block < blocks; ++block) {
    if (aLeaderDigests[block] != aOwn.Digest(block)) {
      m_stale.insert(block);
    }
  }
}

std::vector<unsigned>
MapFollower::TakeDue(TimePoint aNow)
{
  if ((m_stale.empty() && m_misdirected.empty()) || aNow < m_nextRequestAt) {
    return {};
  }
  m_nextRequestAt = aNow + m_requestInterval;
  m_requestInterval = std::min(m_requestInterval * 2, kMaxRequestInterval);
  auto due = m_stale;
  due.merge(std::exchange(m_misdirected, {}));
  return { due.begin(), due.end() };
}

} // namespace sapphirehook
