#include "sapphirehook/keys/range_map.hpp"

#include "sapphirehook/core/hash.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sapphirehook {

void
RangeMap::SplitBefore(Key aKey)
{
  auto after = m_routes.upper_bound(aKey);
  if (after == m_routes.begin()) {
    return;
  }
  auto& [first, route] = *std::prev(after);
  if (first == aKey || !route.m_range.Contains(aKey)) {
    return;
  }
  RangeRoute upper = route;
  upper.m_range.m_first = aKey;
  route.m_range.m_last = static_cast<Key>(aKey - 1);
  m_routes.emplace(aKey, std::move(upper));
}

void
RangeMap::Assign(const RangeRoute& aRoute)
{
  const auto& range = aRoute.m_range;
  SplitBefore(range.m_first);
  if (range.m_last + 1U < kKeyCount) {
    SplitBefore(static_cast<Key>(range.m_last + 1));
  }
  m_routes.erase(m_routes.lower_bound(range.m_first),
                 m_routes.upper_bound(range.m_last));
  m_routes.emplace(range.m_first, aRoute);
  for (unsigned block = range.m_first / kBlockKeys;
       block <= range.m_last / kBlockKeys;
       ++block) {
    m_digests.at(block).reset();
  }
}

const RangeRoute*
RangeMap::Find(Key aKey) const
{
  const auto after = m_routes.upper_bound(aKey);
  if (after == m_routes.begin()) {
    return nullptr;
  }
  const auto& route = std::prev(after)->second;
  return route.m_range.Contains(aKey) ? &route : nullptr;
}

std::vector<RangeRoute>
RangeMap::Block(unsigned aBlock) const
{
  const auto first = static_cast<Key>(aBlock * kBlockKeys);
  const auto last = static_cast<Key>(first + kBlockKeys - 1);
  std::vector<RangeRoute> routes;
  auto at = m_routes.upper_bound(first);
  at = at == m_routes.begin() ? at : std::prev(at);
  for (; at != m_routes.end() && at->first <= last; ++at) {
    RangeRoute route = at->second;
    if (route.m_range.m_last < first) {
      continue;
    }
    route.m_range.m_first = std::max(route.m_range.m_first, first);
    route.m_range.m_last = std::min(route.m_range.m_last, last);
    const bool joins =
      !routes.empty() &&
      routes.back().m_range.m_last + 1U == route.m_range.m_first &&
      routes.back().m_endpoint == route.m_endpoint &&
      routes.back().m_ready == route.m_ready;
    if (joins) {
      routes.back().m_range.m_last = route.m_range.m_last;
    } else {
      routes.push_back(std::move(route));
    }
  }
  return routes;
}

BlockDigest
RangeMap::Digest(unsigned aBlock) const
{
  auto& digest = m_digests.at(aBlock);
  if (!digest) {
    std::uint64_t hash = 0;
    for (const auto& route : Block(aBlock)) {
      const std::uint64_t ends =
        std::uint64_t{ route.m_range.m_first } * kKeyCount +
        route.m_range.m_last;
      hash = StableHash(route.m_endpoint,
                        MixHashes(hash, ends * 2 + (route.m_ready ? 1 : 0)));
    }
    digest = static_cast<BlockDigest>(hash);
  }
  return *digest;
}

bool
RangeMap::IsComplete() const
{
  std::uint32_t covered = 0;
  for (const auto& [first, route] : m_routes) {
    covered += route.m_range.Size();
  }
  return covered == kKeyCount;
}

} // namespace sapphirehook
