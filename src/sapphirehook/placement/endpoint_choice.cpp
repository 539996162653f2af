#include "sapphirehook/placement/endpoint_choice.hpp"

#include <algorithm>

namespace sapphirehook {

namespace {

/** Sample size for each endpoint per daemon, and its limits. In the replay of
    test/sapphirehook/placement/endpoint_choice.cpp a larger sample concentrates
    requests on few endpoints in large fleets, and a smaller one misses fast
    endpoints. */
constexpr std::size_t kComparedPerShare = 8;
constexpr std::size_t kMinCompared = 3;
constexpr std::size_t kMaxCompared = 6;
/** Maximum weight of one of this daemon's own requests. */
constexpr double kMaxOwnWeight = 4.0;

} // namespace

void
EndpointChooser::SetDaemons(std::size_t aDaemons) noexcept
{
  m_daemons = std::max<std::size_t>(aDaemons, 1);
  m_ownWeight =
    std::clamp(static_cast<double>(m_daemons) / 2.0, 1.0, kMaxOwnWeight);
}

std::size_t
EndpointChooser::SampleSize(std::size_t aEndpoints) const noexcept
{
  return std::clamp(
    kComparedPerShare * aEndpoints / m_daemons, kMinCompared, kMaxCompared);
}

} // namespace sapphirehook
