#ifndef SAPPHIREHOOK_SOAK_LEASES_HPP
#define SAPPHIREHOOK_SOAK_LEASES_HPP

#include "sapphirehook/core/time.hpp"
#include "sapphirehook/keys/range.hpp"

#include <optional>
#include <vector>

namespace sapphirehook::soak {

/** The leases of an endpoint, stored per key, so that no error in range
    arithmetic is possible. */
class Leases
{
public:
  Leases();

  /** Applies a grant that expires at the given time. Returns false if one of
      the keys has been granted with a higher fence. */
  [[nodiscard]] bool Grant(const GrantCommand& aCommand, TimePoint aUntil);

  /** Ends the leases of a range, so that no new request starts on it. */
  void Release(KeyRange aRange);

  /** Returns the fence under which the endpoint holds a key, if it does. */
  [[nodiscard]] std::optional<Fence> HeldFence(TimePoint aNow, Key aKey) const;

private:
  struct KeyLease
  {
    Fence m_highestFence = 0;
    TimePoint m_until{};
  };

  std::vector<KeyLease> m_keyLeases;
};

} // namespace sapphirehook::soak

#endif
