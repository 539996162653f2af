#ifndef SAPPHIREHOOK_PLACEMENT_ENDPOINT_CHOICE_HPP
#define SAPPHIREHOOK_PLACEMENT_ENDPOINT_CHOICE_HPP

#include "sapphirehook/core/time.hpp"

#include <concepts>
#include <cstddef>
#include <optional>
#include <random>
#include <span>
#include <vector>

namespace sapphirehook {

/** A function that returns the expected time of a request at an endpoint, or
    nothing if the endpoint can accept no request. */
template<typename Cost, typename Endpoint>
concept EndpointCost = requires(const Cost& aCost, const Endpoint& aEndpoint)
{
  {
    aCost(aEndpoint)
    } -> std::convertible_to<std::optional<std::chrono::nanoseconds>>;
};

/** Chooses the endpoint for a request that any endpoint of a service can serve.

    A daemon's data about the requests of other daemons is some tenths of a
    second old. If each daemon chose the endpoint with the least cost, all would
    choose the same one until their data is updated. Therefore each daemon
    compares a small random sample of the endpoints (Mitzenmacher, "The power of
    two choices in randomized load balancing", 2001). The sample is larger where
    a daemon handles a large part of the load itself and smaller in a large
    fleet. This handles load peaks with any number of daemons. */
class EndpointChooser
{
public:
  explicit EndpointChooser(std::uint32_t aSeed)
    : m_random(aSeed)
  {
  }

  /** Sets the number of daemons that send to the same endpoints. */
  void SetDaemons(std::size_t aDaemons) noexcept;

  /** Returns how many of a service's endpoints are compared. */
  [[nodiscard]] std::size_t SampleSize(std::size_t aEndpoints) const noexcept;

  /** Returns the weight of each of this daemon's own requests. It accounts for
      requests that peers have not reported yet, assuming that peers send as
      this daemon does. */
  [[nodiscard]] double OwnWeight() const noexcept { return m_ownWeight; }

  /** Returns the endpoint of least cost in the sample, or null if none can
      accept the request. Half of the sample comes from the local zone if it has
      enough endpoints. */
  template<typename Endpoint, EndpointCost<Endpoint> Cost>
  [[nodiscard]] Endpoint* Choose(std::span<Endpoint* const> aLocalZone,
                                 std::span<Endpoint* const> aOtherZones,
                                 const Cost& aCost)
  {
    const std::size_t size = SampleSize(aLocalZone.size() + aOtherZones.size());
    Best<Endpoint> best;
    const std::size_t drawnLocal =
      Draw(aLocalZone, (size + 1) / 2, aCost, best);
    const std::size_t drawnOther =
      Draw(aOtherZones, size - drawnLocal, aCost, best);
    if (drawnLocal + drawnOther < size) {
      // Too few endpoints accept the request: fill the sample from the local
      // zone.
      Draw(aLocalZone, size - drawnOther, aCost, best);
    }
    return best.m_endpoint;
  }

private:
  template<typename Endpoint>
  struct Best
  {
    Endpoint* m_endpoint = nullptr;
    std::chrono::nanoseconds m_cost{};
  };

  /** Draws random endpoints until aSize of them accept the request. Returns the
      number of endpoints that accept it. */
  template<typename Endpoint, EndpointCost<Endpoint> Cost>
  std::size_t Draw(std::span<Endpoint* const> aFrom,
                   std::size_t aSize,
                   const Cost& aCost,
                   Best<Endpoint>& aBest)
  {
    m_order.resize(aFrom.size());
    for (std::size_t i = 0; i < m_order.size(); ++i) {
      m_order[i] = i;
    }
    std::size_t accepting = 0;
    for (std::size_t i = 0; i < m_order.size() && accepting < aSize; ++i) {
      const std::size_t left = m_order.size() - i;
      std::swap(m_order[i], m_order[i + m_random() % left]);
      Endpoint* endpoint = aFrom[m_order[i]];
      const std::optional<std::chrono::nanoseconds> cost = aCost(*endpoint);
      if (!cost) {
        continue;
      }
      ++accepting;
      if (aBest.m_endpoint == nullptr || *cost < aBest.m_cost) {
        aBest = { endpoint, *cost };
      }
    }
    return accepting;
  }

  std::minstd_rand m_random;
  std::size_t m_daemons = 1;
  double m_ownWeight = 1.0;
  std::vector<std::size_t> m_order;
};

} // namespace sapphirehook

#endif
