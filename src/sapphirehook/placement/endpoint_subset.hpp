#ifndef SAPPHIREHOOK_PLACEMENT_ENDPOINT_SUBSET_HPP
#define SAPPHIREHOOK_PLACEMENT_ENDPOINT_SUBSET_HPP

#include "sapphirehook/core/hash.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

namespace sapphirehook {

/** Returns how many of a service's endpoints a daemon uses while they have
    capacity. In a large fleet it is a part: connections then stay in use
    instead of timing out, and a daemon's figures about an endpoint rest on more
    answers. A small fleet uses all endpoints. */
[[nodiscard]] std::size_t
SubsetSize(std::size_t aEndpoints, std::size_t aDaemons) noexcept;

/** Returns the aSize endpoints that a daemon ranks first in rendezvous hashing.
    Daemons rank endpoints independently, so that all endpoints are used about
    equally, and the loss of one endpoint changes one member. aHashOf returns
    the hash of an endpoint. */
template<typename Endpoint, typename HashOf>
[[nodiscard]] std::vector<Endpoint*>
RankedFirst(const std::vector<Endpoint*>& aEndpoints,
            std::size_t aSize,
            std::uint64_t aDaemon,
            const HashOf& aHashOf)
{
  std::vector<std::pair<std::uint64_t, Endpoint*>> ranks;
  ranks.reserve(aEndpoints.size());
  for (auto* endpoint : aEndpoints) {
    ranks.emplace_back(MixHashes(aDaemon, aHashOf(*endpoint)), endpoint);
  }
  std::sort(ranks.begin(), ranks.end());
  ranks.resize(std::min(aSize, ranks.size()));
  std::vector<Endpoint*> first;
  first.reserve(ranks.size());
  for (const auto& [rank, endpoint] : ranks) {
    first.push_back(endpoint);
  }
  return first;
}

} // namespace sapphirehook

#endif
