#include "sapphirehook/keys/range_map.hpp"

#include <iterator>

namespace sapphirehook {

/** Cuts the route that covers a key in two, so that one begins at the key. */
void
RangeMap::CutBefore(Key aKey)
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
  CutBefore(range.m_first);
  if (range.m_last + 1U < kKeyCount) {
    CutBefore(static_cast<Key>(range.m_last + 1));
  }
  m_routes.erase(m_routes.lower_bound(range.m_first),
                 m_routes.upper_bound(range.m_last));
  m_routes.emplace(range.m_first, aRoute);
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
RangeMap::All() const
{
  std::vector<RangeRoute> all;
  all.reserve(m_routes.size());
  for (const auto& [first, route] : m_routes) {
    all.push_back(route);
  }
  return all;
}

} // namespace sapphirehook
