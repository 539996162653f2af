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

/** Tells the time that an endpoint is expected to take for a request, or
    nothing when it can take none. */
template<typename Cost, typename Endpoint>
concept EndpointCost = requires(const Cost& aCost, const Endpoint& aEndpoint)
{
  {
    aCost(aEndpoint)
    } -> std::convertible_to<std::optional<std::chrono::nanoseconds>>;
};

/** Chooses the endpoint for a request that any endpoint of a service can take.

    What daemons know of each other's requests is some tenths of a second old.
    If each sent to the endpoint that looks best, all would send to the same one
    until they learn of it. So each compares a few endpoints drawn at random
    (Mitzenmacher, "The power of two choices in randomized load balancing",
    2001): many where a daemon sees much of the load itself, few in a large
    fleet. Answers the crest of a swing with any number of daemons. */
class EndpointChooser
{
public:
  explicit EndpointChooser(std::uint32_t aSeed)
    : m_random(aSeed)
  {
  }

  /** Sets how many daemons send to the same endpoints. */
  void SetDaemons(std::size_t aDaemons) noexcept;

  /** How many of a service's endpoints are compared. */
  [[nodiscard]] std::size_t SampleSize(std::size_t aEndpoints) const noexcept;

  /** How many requests each own request stands for: peers that have not told
      of theirs yet are taken to send as this daemon does. */
  [[nodiscard]] double OwnWeight() const noexcept { return m_ownWeight; }

  /** Returns the endpoint of least cost among those drawn, half of them near
      ones where there are; null when none can take the request. */
  template<typename Endpoint, EndpointCost<Endpoint> Cost>
  [[nodiscard]] Endpoint* Choose(std::span<Endpoint* const> aNear,
                                 std::span<Endpoint* const> aFar,
                                 const Cost& aCost)
  {
    const std::size_t size = SampleSize(aNear.size() + aFar.size());
    Best<Endpoint> best;
    const std::size_t near = Draw(aNear, (size + 1) / 2, aCost, best);
    const std::size_t far = Draw(aFar, size - near, aCost, best);
    if (near + far < size) {
      // Few are far, or few can take it: the rest of the near ones count too.
      Draw(aNear, size - far, aCost, best);
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

  /** Draws endpoints until a number of them could take the request. Returns
      how many could. */
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
    std::size_t able = 0;
    for (std::size_t i = 0; i < m_order.size() && able < aSize; ++i) {
      const std::size_t left = m_order.size() - i;
      std::swap(m_order[i], m_order[i + m_random() % left]);
      Endpoint* endpoint = aFrom[m_order[i]];
      const std::optional<std::chrono::nanoseconds> cost = aCost(*endpoint);
      if (!cost) {
        continue;
      }
      ++able;
      if (aBest.m_endpoint == nullptr || *cost < aBest.m_cost) {
        aBest = { endpoint, *cost };
      }
    }
    return able;
  }

  std::minstd_rand m_random;
  std::size_t m_daemons = 1;
  double m_ownWeight = 1.0;
  std::vector<std::size_t> m_order;
};

} // namespace sapphirehook

#endif
