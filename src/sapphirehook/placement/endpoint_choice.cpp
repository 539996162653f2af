#include "sapphirehook/placement/endpoint_choice.hpp"

#include <algorithm>

namespace sapphirehook {

namespace {

/** Endpoints compared for each endpoint that there is to a daemon. The replay
    in test/sapphirehook/placement/endpoint_choice.cpp found more to gather
    requests in large fleets, and fewer to pass over fast endpoints. */
constexpr std::size_t kComparedPerShare = 8;
constexpr std::size_t kLeastCompared = 3;
constexpr std::size_t kMostCompared = 6;
/** Most requests that one of this daemon's stands for. */
constexpr double kMostOwnWeight = 4.0;

} // namespace

void
EndpointChooser::SetDaemons(std::size_t aDaemons) noexcept
{
  m_daemons = std::max<std::size_t>(aDaemons, 1);
  m_ownWeight =
    std::clamp(static_cast<double>(m_daemons) / 2.0, 1.0, kMostOwnWeight);
}

std::size_t
EndpointChooser::SampleSize(std::size_t aEndpoints) const noexcept
{
  return std::clamp(
    kComparedPerShare * aEndpoints / m_daemons, kLeastCompared, kMostCompared);
}

} // namespace sapphirehook
