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

/** Tells all daemons which endpoint holds which keys. The leader sends each
    change once, and digests of its maps with its beats; a daemon whose digests
    differ asks for the blocks of keys in question. */
class MapExchange
{
public:
  /** aBytesPerSecond is what the leader may send of its maps when asked. */
  MapExchange(EventLoop& aLoop,
              Gossip& aGossip,
              RequestEngine& aEngine,
              double aBytesPerSecond);

  // As the leader.

  /** This daemon leads from now on. */
  void BeginLeading(Term aTerm) noexcept { m_term = aTerm; }

  /** Puts routes in force here and tells all daemons of them. */
  void Publish(const std::string& aService,
               const std::vector<RangeRoute>& aRoutes);

  /** Returns the digests of a service's map. */
  [[nodiscard]] std::vector<BlockDigest> Digests(
    const std::string& aService) const;

  void OnRequest(const HostId& aFrom, const RouteRequest& aRequest);

  /** This daemon leads no more. */
  void StopLeading();

  // As a follower.

  /** The leader has told the digests of its maps. */
  void OnDigests(const HostId& aLeader,
                 const std::map<std::string, std::vector<BlockDigest>>& aMaps);

  /** An endpoint refused a key that it holds by the map. */
  void OnMisdirected(const std::optional<HostId>& aLeader,
                     const std::string& aService,
                     Key aKey);

  void OnUpdate(const RouteUpdate& aUpdate);

private:
  void Ask(const std::string& aLeader, const std::string& aService);
  void TellChanges();
  void SendBlocks();
  [[nodiscard]] std::vector<std::string> SerializeBlock(
    const BlockRequest& aOrder) const;

  Gossip& m_gossip;
  RequestEngine& m_engine;
  BlockQueue m_queue;
  Timer m_sendTimer;
  Timer m_tellTimer;
  Term m_term = 0;
  /** Changes by service that have not been told yet. */
  std::map<std::string, std::vector<RangeRoute>> m_untold;
  std::map<std::string, MapFollower> m_followers;
};

} // namespace sapphirehook

#endif
