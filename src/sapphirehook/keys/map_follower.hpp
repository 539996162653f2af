#ifndef SAPPHIREHOOK_KEYS_MAP_FOLLOWER_HPP
#define SAPPHIREHOOK_KEYS_MAP_FOLLOWER_HPP

#include "sapphirehook/core/time.hpp"
#include "sapphirehook/keys/range_map.hpp"

#include <set>
#include <vector>

namespace sapphirehook {

/** Decides which blocks of a service's map a daemon asks the leader for, and
    when: those whose digests differ from the leader's, and those in which an
    endpoint refused a key. While asking brings nothing it asks more and more
    rarely, so that a leader short of room is not asked for more than it can
    send. */
class MapFollower
{
public:
  /** The leader has told the digests of its map. */
  void OnDigests(const std::vector<BlockDigest>& aTold, const RangeMap& aOwn);

  /** An endpoint refused a key that it holds by this daemon's map. */
  void OnMisdirected(Key aKey) { m_doubtful.insert(aKey / kBlockKeys); }

  /** Routes have come from the leader. */
  void OnRoutes() noexcept { m_pause = kShortestPause; }

  /** Returns the blocks to ask for now. */
  [[nodiscard]] std::vector<unsigned> TakeDue(TimePoint aNow);

private:
  /** Time between two questions: several answers' time on one network, and
      little more than the longest that a change may take to be known. */
  static constexpr Millis kShortestPause{ 60 };
  static constexpr Millis kLongestPause{ 500 };

  std::set<unsigned> m_stale;
  std::set<unsigned> m_doubtful;
  Millis m_pause = kShortestPause;
  TimePoint m_askAgainAt{};
};

} // namespace sapphirehook

#endif
