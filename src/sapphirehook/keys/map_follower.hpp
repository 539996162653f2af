#ifndef SAPPHIREHOOK_KEYS_MAP_FOLLOWER_HPP
#define SAPPHIREHOOK_KEYS_MAP_FOLLOWER_HPP

#include "sapphirehook/core/time.hpp"
#include "sapphirehook/keys/range_map.hpp"

#include <set>
#include <vector>

namespace sapphirehook {

/** Decides which blocks of a service's range map a daemon requests from the
    leader, and when. It requests blocks whose digests differ from the leader's,
    and blocks in which an endpoint refused a key. While no routes arrive, the
    interval between requests doubles up to a limit, so that a leader with
    little bandwidth gets no more requests than it can answer. */
class MapFollower
{
public:
  /** Compares the digests of the leader's map with the own map. */
  void OnDigests(const std::vector<BlockDigest>& aLeaderDigests,
                 const RangeMap& aOwn);

  /** An endpoint refused a key that this daemon's map assigns to it. */
  void OnMisdirected(Key aKey) { m_misdirected.insert(aKey / kBlockKeys); }

  /** Routes have arrived from the leader. */
  void OnRoutes() noexcept { m_requestInterval = kMinRequestInterval; }

  /** Returns the blocks to request now. */
  [[nodiscard]] std::vector<unsigned> TakeDue(TimePoint aNow);

private:
  /** Shortest time between two requests. It is several round trips on one
      network, and little more than the longest time that a change may take to
      reach all daemons. */
  static constexpr Millis kMinRequestInterval{ 60 };
  static constexpr Millis kMaxRequestInterval{ 500 };

  std::set<unsigned> m_stale;
  std::set<unsigned> m_misdirected;
  Millis m_requestInterval = kMinRequestInterval;
  TimePoint m_nextRequestAt{};
};

} // namespace sapphirehook

#endif
