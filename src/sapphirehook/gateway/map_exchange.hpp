#ifndef SAPPHIREHOOK_GATEWAY_MAP_EXCHANGE_HPP
#define SAPPHIREHOOK_GATEWAY_MAP_EXCHANGE_HPP

#include "sapphirehook/gateway/request_engine.hpp"
#include "sapphirehook/gossip/gossip.hpp"
#include "sapphirehook/keys/block_queue.hpp"
#include "sapphirehook/keys/map_follower.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace sapphirehook {

/** Replicates to all daemons the maps of which endpoint owns which keys. The
    leader sends each change once, and digests of its maps with its heartbeats.
    A daemon whose digests differ requests the blocks of keys that differ. */
class MapExchange
{
public:
  /** aBytesPerSecond limits what the leader sends of its maps on request. */
  MapExchange(EventLoop& aLoop,
              Gossip& aGossip,
              RequestEngine& aEngine,
              double aBytesPerSecond);

  // On the leader.

  /** Records that this daemon is the leader from now on. */
  void BeginLeading(Term aTerm) noexcept { m_term = aTerm; }

  /** Applies routes on this daemon and sends them to all others. */
  void Publish(const std::string& aService,
               const std::vector<RangeRoute>& aRoutes);

  /** Returns the digests of a service's map, one for each block. */
  [[nodiscard]] std::vector<BlockDigest> Digests(
    const std::string& aService) const;

  void OnRequest(const HostId& aFrom, const RouteRequest& aRequest);

  /** Records that this daemon is not the leader any more. */
  void StopLeading();

  // On a follower.

  /** Compares the leader's digests with this daemon's maps and requests the
      blocks that differ. */
  void OnDigests(const HostId& aLeader,
                 const std::map<std::string, std::vector<BlockDigest>>& aMaps);

  /** Requests the block of a key that an endpoint refused although the map
      names that endpoint as the owner. */
  void OnMisdirected(const std::optional<HostId>& aLeader,
                     const std::string& aService,
                     Key aKey);

  void OnUpdate(const RouteUpdate& aUpdate);

private:
  void RequestBlocks(const std::string& aLeader, const std::string& aService);
  void SendChanges();
  void SendBlocks();
  [[nodiscard]] std::vector<std::string> SerializeBlock(
    const BlockRequest& aBlockRequest) const;

  Gossip& m_gossip;
  RequestEngine& m_engine;
  BlockQueue m_queue;
  Timer m_sendTimer;
  Timer m_changesTimer;
  Term m_term = 0;
  /** Changes that have not been sent yet, by service. */
  std::map<std::string, std::vector<RangeRoute>> m_unsentChanges;
  std::map<std::string, MapFollower> m_followers;
};

} // namespace sapphirehook

#endif
