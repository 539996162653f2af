#ifndef SAPPHIREHOOK_KEYS_INITIAL_RANGES_HPP
#define SAPPHIREHOOK_KEYS_INITIAL_RANGES_HPP

#include "sapphirehook/core/time.hpp"

#include <algorithm>
#include <cstddef>

namespace sapphirehook {

/** Returns the number of ranges into which the keys of a service are divided at
    first. Each endpoint gets the same number, more than one where there are few
    endpoints, so that the keys of an endpoint are spread over the key space.
    Where there are many it gets one, since each range needs its own renewals.
 */
[[nodiscard]] constexpr unsigned
InitialRanges(std::size_t aEndpoints) noexcept
{
  constexpr std::size_t kMaxPerEndpoint = 6;
  constexpr std::size_t kUsualLimit = 500;
  const auto endpoints = std::max<std::size_t>(aEndpoints, 1);
  const auto each =
    std::clamp<std::size_t>(kUsualLimit / endpoints, 1, kMaxPerEndpoint);
  return static_cast<unsigned>(endpoints * each);
}

/** Decides when enough endpoints of a service are known to assign its keys for
    the first time.

    Load pattern: hundreds of endpoints that start together and become known
    over a second or two. Assigned too early, all keys go to the first few, and
    most of them have to move again. */
class ArrivalWindow
{
public:
  /** Returns whether the number of known endpoints has stopped growing, or has
      grown for too long. */
  [[nodiscard]] bool HasSettled(TimePoint aNow, std::size_t aEndpoints)
  {
    if (aEndpoints == 0) {
      return false;
    }
    if (m_most == 0) {
      m_firstAt = aNow;
    }
    if (aEndpoints > m_most) {
      m_most = aEndpoints;
      m_grownAt = aNow;
    }
    return aNow >= m_grownAt + kQuiet || aNow >= m_firstAt + kLongest;
  }

private:
  /** Endpoints that start together become known in shorter intervals. */
  static constexpr Millis kQuiet{ 400 };
  static constexpr Millis kLongest{ 2000 };

  std::size_t m_most = 0;
  TimePoint m_firstAt{};
  TimePoint m_grownAt{};
};

} // namespace sapphirehook

#endif
