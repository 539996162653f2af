#include "sapphirehook/placement/endpoint_subset.hpp"

namespace sapphirehook {

namespace {

/** Number of daemons up to which each uses all endpoints. */
constexpr std::size_t kSmallFleet = 16;
/** Minimum size of a subset. In the replay of
    test/sapphirehook/placement/endpoint_choice.cpp fewer endpoints are full
    more often at a load peak, which costs more than the connections. */
constexpr std::size_t kMinSubset = 12;
/** Number of daemons that use each endpoint at least, on average. */
constexpr std::size_t kDaemonsPerEndpoint = 3;

} // namespace

std::size_t
SubsetSize(std::size_t aEndpoints, std::size_t aDaemons) noexcept
{
  if (aDaemons <= kSmallFleet) {
    return aEndpoints;
  }
  return std::min(
    aEndpoints,
    std::max(kMinSubset, kDaemonsPerEndpoint * aEndpoints / aDaemons));
}

} // namespace sapphirehook
